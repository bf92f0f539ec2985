// Requests of a gateway to the group that wait for their answer.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "FeedGenerated.h"
#include "State/ControlPort.h"
#include "Wire/Frame.h"

namespace parsleycove {

enum class CallTarget
{
  Feed,   // any replica
  Leader, // the leader; another replica tells who that is
};

// One request, with the number that pairs it with its answer.
struct PendingCall
{
  // The answer's body, or null with an error.
  using Handler =
    std::function<void(const feed::FeedBodyUnion*, const ControlReason&)>;

  std::uint64_t m_id = 0;
  CallTarget m_target = CallTarget::Feed;
  Frame::Pointer m_frame;
  TimePoint m_deadline{};
  TimePoint m_nextSendAt{};
  // Sendings that no answer has shown to be without effect.
  std::uint32_t m_uncertainSends = 0;
  Handler m_handler;
};

// Keeps each call until it is answered or its deadline has passed, and calls
// every handler exactly once.
class PendingCalls
{
public:
  void Add(PendingCall aCall);
  PendingCall* Find(std::uint64_t aId);
  // Ends the call with this answer. Unknown ids are late or duplicate answers.
  void Complete(std::uint64_t aId, const feed::FeedBodyUnion& aAnswer);
  // The replica did not take the call.
  void RecordRejection(std::uint64_t aId);
  // Makes every call of this target due now.
  void MakeDue(CallTarget aTarget, TimePoint aNow);

  // Ends what is past its deadline and returns the ids that are due.
  std::vector<std::uint64_t> CollectDue(TimePoint aNow);
  // When CollectDue is next worth calling.
  std::optional<TimePoint> NextDue() const;
  void FailAll();

private:
  static void Fail(const PendingCall& aCall);

  std::unordered_map<std::uint64_t, PendingCall> m_calls;
};

} // namespace parsleycove
