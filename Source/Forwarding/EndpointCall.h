// Sends one request to one endpoint and reads its answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/cancellation_signal.hpp>

#include "Forwarding/ConnectionPool.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/EndpointAnswer.h"
#include "Forwarding/EndpointConnection.h"
#include "Routing/PathSelector.h"

namespace parsleycove {

// Why a call ended before its answer was complete.
enum class CallEnd
{
  None,
  // No connection was established, so no byte was sent.
  NotConnected,
  // The connection broke, or the received bytes are not a valid answer.
  Broken,
  // The answer was refused in favour of others, since the budget of all answers
  // was full. The endpoint is not at fault, and may have run the request.
  OverBudget,
  // The answer belongs to another request.
  Foreign,
  Overdue,
  CallerGone,
  // A stage behind the first endpoint has failed.
  StageLost,
  // No event arrived for too long.
  Stalled,
  // Another call serves the request.
  Superseded,
};

// Describes the request of a call.
struct CallInfo
{
  // Id of the caller's attempt; the first engine of a path identifies the
  // request by this id.
  std::string m_attemptId;
  // Tokens of the prompt and the expected answer; 0 for plain calls.
  std::uint32_t m_tokens = 0;
  std::uint32_t m_promptTokens = 0;
  // Level of urgency; 0 is the most urgent, and the only one where all requests
  // of the service are equally urgent.
  std::size_t m_level = 0;
};

// Kept alive by the coroutine that runs the call, and by pending writes.
//
// Invariant: after Abort every wait ends with the reason given to Abort, and
// the connection is not used again. After Suspend every wait ends with its
// reason until Resume is called.
class EndpointCall final
  : public MonitoredWait
  , public std::enable_shared_from_this<EndpointCall>
{
public:
  using Header = EndpointAnswer::Header;

  EndpointCall(const asio::any_io_executor& aExecutor,
               ConnectionPool& aPool,
               RunnerPtr aRunner,
               StagePathPtr aPath,
               CallInfo aInfo);
  ~EndpointCall() override;

  // Counts what is held of the answer against aBudget. If the answer is refused
  // in favour of others, the call ends as over budget and aOnRefused is called.
  void CountAnswer(std::shared_ptr<ReceiveBudget> aBudget,
                   std::function<void()> aOnRefused);
  // Sets what else is held of the answer besides what ReadBody appends to.
  void SetKeptBytes(std::size_t aBytes) { m_answer.SetKeptBytes(aBytes); }
  // Sets what frees the answer when it is refused while nothing is read; null
  // if the next read does.
  void SetOnRefused(std::function<void()> aOnRefused)
  {
    m_onRefused = std::move(aOnRefused);
  }

  // Takes an idle connection from the pool or opens a new connection. Returns
  // false, with End() set, if there is none within aTimeout.
  asio::awaitable<bool> Connect(Duration aTimeout);
  // Sends without waiting: an endpoint may answer before it has read the whole
  // request.
  void Send(std::string aHeader, std::string_view aBody);
  // Reads up to the end of the final answer's header. Returns false if the call
  // ended.
  asio::awaitable<bool> ReadHeader();
  // Appends the next bytes of the body. Returns false at the end of the answer:
  // End() is None if the answer is complete, and the reason otherwise.
  asio::awaitable<bool> ReadBody(std::string& aOut);
  // Must be called when what was read of the answer has been freed, and nobody
  // reads on: closes the connection and ends the counting.
  void DropAnswer();
  // Prepares to read the next answer on the connection in place of this answer.
  bool SkipAnswer();
  // Must be called when the answer says that the endpoint has not executed the
  // request.
  void RecordRefusal();

  void Abort(CallEnd aWhy);
  // Ends the current read like Abort, but keeps the connection, and goes on
  // sending the request, so that the call can go on after Resume.
  void Suspend(CallEnd aWhy);
  // Returns true if the call was suspended and its connection is still open.
  bool IsSuspended() const;
  // Lets a suspended call go on where it was interrupted. Returns false if the
  // call is not suspended or its connection is closed.
  bool Resume();
  // Returns the connection to the pool if the answer was complete and no bytes
  // follow it; closes the connection otherwise.
  void Release(TimePoint aNow);

  // Sets two deadlines: after aMoveAfter the call is suspended as soon as the
  // request may move to another endpoint, and aborted after aDeadline.
  void SetDeadlines(TimePoint aMoveAfter, TimePoint aDeadline);
  void OnDeadline(TimePoint aNow) override;
  void LimitDeadline(TimePoint aLatest) override;

  // Returns true once the header of an answer was read whole.
  bool HasAnswerHeader() const { return m_answer.HasHeader(); }
  const Header& Answer() const { return m_answer.Head(); }
  CallEnd End() const { return m_end; }
  bool MayHaveArrived() const { return m_sent; }
  bool IsNewConnection() const { return m_isNew; }
  // Returns true if the endpoint did not answer the connection's first packet
  // in time; the packet may have been lost.
  bool HasConnectTimedOut() const { return m_connectTimedOut; }
  const RunnerPtr& Target() const { return m_runner; }
  const StagePathPtr& Path() const { return m_path; }
  // Sets the path of the remaining tokens; its first engine is the same.
  void SetPath(StagePathPtr aPath);
  // Must be called when the first event arrives, since prefill is done then.
  void MarkPrefillDone() { m_reservation.MarkPrefillDone(); }
  const std::string& AttemptId() const { return m_info.m_attemptId; }
  std::uint32_t ExpectedTokens() const { return m_info.m_tokens; }
  std::size_t Level() const { return m_info.m_level; }
  // A reroute order for this stream is in flight.
  bool IsRerouting() const { return m_isRerouting; }
  void SetRerouting(bool aIsRerouting) { m_isRerouting = aIsRerouting; }
  // Returns false after a reroute order failed or found no replacement engine.
  bool MayReroute() const { return m_mayReroute; }
  void DenyReroute() { m_mayReroute = false; }

  TimePoint SentAt() const { return m_sentAt; }
  // Must be called when whole events have arrived. Single bytes are no
  // progress: an endpoint that has stalled may still send one now and then.
  void RecordEvents(TimePoint aNow);
  // When an event last arrived, or when the request was sent if none has.
  TimePoint ProgressAt() const { return m_progressAt; }
  bool HasProgress() const { return m_progressAt > m_sentAt; }
  // Moving average of the time between two arrivals of events.
  Duration AverageArrivalGap() const { return m_averageArrivalGap; }
  void SetAverageArrivalGap(Duration aGap) { m_averageArrivalGap = aGap; }
  // Target time to the first event; zero if there is none.
  Duration FirstEventTarget() const { return m_firstEventTarget; }
  void SetFirstEventTarget(Duration aTarget) { m_firstEventTarget = aTarget; }
  // Sets the function that decides whether the request may move to another
  // endpoint now, and that charges the retry budget for the move. A call that
  // must not move is never ended because of silence.
  void SetMoveClaim(std::function<bool()> aClaim)
  {
    m_moveClaim = std::move(aClaim);
  }
  bool ClaimMove() const { return m_moveClaim && m_moveClaim(); }

private:
  enum class SendState
  {
    Sending,
    Sent,
    // Ended by this VM.
    Stopped,
    Failed,
  };

  asio::awaitable<bool> ReadMore();
  // Returns false if the connection was reset in an answer that ends with its
  // connection. A socket reports a reset only once: if the write took the
  // error, the read just finds the end.
  asio::awaitable<bool> IsOrderlyEnd();
  bool Fail(CallEnd aWhy);
  // Counts aBodyBytes and what the call itself holds. Returns false, with End()
  // set, if the answer is refused.
  bool Hold(std::size_t aBodyBytes);

  ConnectionPool& m_pool;
  const RunnerPtr m_runner;
  const CallInfo m_info;
  // Null for plain calls.
  StagePathPtr m_path;
  PathReservation m_reservation;
  bool m_isRerouting = false;
  bool m_mayReroute = true;
  // Null after the connection was returned to the pool.
  EndpointConnectionPtr m_connection;
  EndpointAnswer m_answer;
  std::function<void()> m_onRefused;
  std::string m_header;
  std::string_view m_body;
  CallEnd m_end = CallEnd::None;
  TimePoint m_sentAt{};
  TimePoint m_progressAt{};
  bool m_sent = false;
  SendState m_sendState = SendState::Sending;
  bool m_isSuspended = false;
  bool m_isNew = false;
  bool m_connectTimedOut = false;
  // End of the call where Deadline() is the time to move; the clock's epoch
  // where Deadline() ends the call.
  TimePoint m_finalDeadline{};
  std::function<bool()> m_moveClaim;
  // Cancels the pending read.
  asio::cancellation_signal m_cancelRead;
  Duration m_averageArrivalGap{};
  Duration m_firstEventTarget{};
  bool m_atEnd = false;
};

using EndpointCallPtr = std::shared_ptr<EndpointCall>;

} // namespace parsleycove
