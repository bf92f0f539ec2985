// Estimates when a path would give the first event of a prompt, and spreads
// prompts over the paths by it, so that long prompts do not hold up short ones.
//
// Load pattern: prompts whose lengths differ tenfold share engines that read
// them in order, one chunk a pass, between the tokens of running streams. A
// long prompt in front of a short one takes several passes, and a pass of a
// slow path takes many times that of a fast one.
#pragma once

#include "Base/Clock.h"
#include "Routing/RoutingConfig.h"
#include "Routing/ServiceAims.h"

namespace parsleycove {

struct PromptSpreadSettings
{
  // False: a path is drawn without regard to the length of the prompt.
  bool m_isEnabled = true;
  // An expected first event that is later by the target makes the path less
  // likely by this power of e.
  double m_bias = 8;
};

// What it costs a path to read a prompt.
struct PrefillCost
{
  // Time to prefill one token through all stages.
  double m_tokenMs = 0;
  // Time of the decode steps of the running streams in the pass that reads a
  // chunk.
  double m_passMs = 0;
  // Further time per million pairs of a token and an earlier token.
  double m_pairsMsPerMillion = 0;
};

// Load on a path, as far as this process knows it.
struct PrefillLoad
{
  // Prompt tokens of all gateways in front of a new prompt.
  double m_backlogTokens = 0;
  // Streams of all gateways on the path.
  double m_streams = 0;
};

class PromptSpread
{
public:
  // Does not act until a service with differentiated streams and a model with
  // the sizes of a chunk and of the usual prompt are set.
  explicit PromptSpread(PromptSpreadSettings aSettings = {});

  void SetAims(const ServiceAims& aAims);
  void SetModel(const LayeredModel& aModel);
  bool IsActive() const { return m_isActive; }

  // Returns the time that the path takes to read so many tokens, in ms.
  // Requires IsActive().
  double ReadingMs(const PrefillCost& aCost, double aTokens) const;
  // Returns the expected time to the first event, in ms. Requires IsActive().
  double FirstEventMs(const PrefillCost& aCost,
                      const PrefillLoad& aLoad,
                      double aPromptTokens) const;
  // Returns the factor, above 0, on the path's weight in a draw; 1 if the part
  // does not act.
  double WeightFactor(const PrefillCost& aCost,
                      const PrefillLoad& aLoad,
                      double aPromptTokens) const;

private:
  void UpdateActive();

  const PromptSpreadSettings m_settings;
  double m_targetMs = 0;
  double m_chunkTokens = 0;
  double m_usualPrompt = 0;
  // Part of a path's passes that one usual stream fills with its prompt, over
  // the stream's life.
  double m_readingPerStream = 0;
  bool m_isDifferentiated = false;
  // Invariant: if true, the target and the usual prompt are above 0, and a
  // chunk has at least one token.
  bool m_isActive = false;
};

} // namespace parsleycove
