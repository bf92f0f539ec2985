// Replays prompts of mixed lengths on engines that read them in order, one
// chunk a pass, between the tokens of running streams.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Routing/EngineFleet.h"
#include "Routing/PathSelector.h"
#include "Routing/Random.h"

namespace parsleycove {

struct PromptLoad
{
  // Streams a second of all gateways; from second m_burstAt to m_burstEnd this
  // many times as many.
  double m_rate = 0;
  double m_burstAt = 4;
  double m_burstEnd = 10;
  double m_burstFactor = 1;
  double m_seconds = 12;
  std::uint64_t m_seed = 1;
  bool m_isSpread = true;
};

// A stream as its caller saw it.
struct PromptOutcome
{
  double m_arrival = 0;
  std::uint32_t m_promptTokens = 0;
  double m_firstEventMs = 0;
  std::uint32_t m_pauses = 0;
};

struct PromptResult
{
  std::size_t m_offered = 0;
  // Streams for which the gateway found no path, or the engine no memory.
  std::size_t m_refused = 0;
  // By the end of the stream.
  std::vector<PromptOutcome> m_outcomes;

  // Returns the 95th percentile of the first event, in ms, of the streams that
  // arrived in the time, from the part aFrom to aTo of all by prompt length.
  double FirstEventP95(double aBegin,
                       double aEnd,
                       double aFrom,
                       double aTo) const;
  double LongestFirstEvent() const;
  std::size_t CountPauses() const;
};

class PromptReplay
{
public:
  PromptReplay(const std::vector<EngineGroup>& aGroups,
               std::size_t aGateways,
               const PromptLoad& aLoad);
  PromptResult Run();

private:
  struct Gateway
  {
    std::vector<RunnerPtr> m_engines;
    PathSelector m_selector;
  };
  struct Stream
  {
    PromptOutcome m_outcome;
    StagePathPtr m_path;
    PathReservation m_reservation;
    double m_unreadTokens = 0;
    double m_answerTokens = 0;
    double m_lastEvent = 0;
  };
  // The engines of the paths that begin at one engine.
  struct Reader
  {
    std::deque<Stream> m_prompts;
    std::deque<Stream> m_writers;
    double m_usedTokens = 0;
    // Streams that were writing when the pass began.
    std::size_t m_passWriters = 0;
    bool m_isBusy = false;
  };

  void Arrive(double aNow);
  void BeginPass(double aNow, Reader& aReader);
  void EndPass(double aNow, Reader& aReader);
  double DrawLength(double aMean, double aSpread, double aMost);

  const PromptLoad m_load;
  Random m_random;
  std::vector<LayoutHost> m_hosts;
  std::deque<Gateway> m_gateways;
  std::map<std::string, Reader> m_readers;
  std::multimap<double, Reader*> m_passEnds;
  PromptResult m_result;
};

} // namespace parsleycove
