// Requests of a gateway to the control group that have not been answered yet.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
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
  Leader, // the leader; other replicas answer with its address
};

// One request, with the id that matches it to its answer.
struct PendingCall
{
  // Receives the body of the answer, or nullptr and an error.
  using Handler =
    std::function<void(const feed::FeedBodyUnion*, const ControlReason&)>;

  std::uint64_t m_id = 0;
  CallTarget m_target = CallTarget::Feed;
  Frame::Pointer m_frame;
  // Feature level that the control group needs to read the call.
  std::uint32_t m_level = 0;
  // True while the group is not known to read the call.
  bool m_isWithheld = false;
  TimePoint m_deadline{};
  TimePoint m_nextSendAt{};
  // Number of sends that may have taken effect: no replica has rejected them.
  std::uint32_t m_uncertainSends = 0;
  Handler m_handler;
};

// Keeps each call until it is answered or its deadline has passed. Invokes each
// handler exactly once.
class PendingCalls
{
public:
  void Add(PendingCall aCall);
  PendingCall* Find(std::uint64_t aId);
  // Completes the call with this answer. Ignores an unknown id, which belongs
  // to a late or duplicate answer.
  void Complete(std::uint64_t aId, const feed::FeedBodyUnion& aAnswer);
  // Records that the replica rejected one send of the call, so that this send
  // had no effect.
  void RecordRejection(std::uint64_t aId);
  // As RecordRejection(). Fails the call as not accepted if no other send of it
  // may have taken effect; returns whether it did.
  bool FailRejected(std::uint64_t aId, const std::string& aWhy);
  // Makes every call to this target due at aNow.
  void MakeDue(CallTarget aTarget, TimePoint aNow);

  // Fails the calls whose deadline has passed and returns the ids of the calls
  // to send, in ascending order.
  std::vector<std::uint64_t> CollectDue(TimePoint aNow);
  // Returns the time of the next send or deadline, or std::nullopt if there are
  // no calls.
  std::optional<TimePoint> NextDue() const;
  void FailAll();

private:
  static void Fail(const PendingCall& aCall);

  std::unordered_map<std::uint64_t, PendingCall> m_calls;
};

} // namespace parsleycove
