// One request on its way to one endpoint.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "Forwarding/ConnectionPool.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/EndpointConnection.h"
#include "Routing/PathSelector.h"

namespace parsleycove {

// Why a call ended before its answer was complete.
enum class CallEnd
{
  None,
  // No connection: not a byte has left.
  NotConnected,
  // The connection broke, or what came is no answer.
  Broken,
  // An answer to another request came.
  Foreign,
  Overdue,
  CallerGone,
  // A stage behind the first endpoint is dead.
  StageLost,
  // No event for too long.
  Stalled,
};

// What a call is made for.
struct CallInfo
{
  // Of the caller's attempt; a path's first engine knows the request by it.
  std::string m_attemptId;
  // Prompt and expected answer; 0 for plain calls.
  std::uint32_t m_tokens = 0;
  std::uint32_t m_promptTokens = 0;
};

// Held by a coroutine, and by its own writes until they have ended.
//
// Invariant: after Abort every wait ends with that reason, and the connection
// is not used again.
class EndpointCall final
  : public MonitoredWait
  , public std::enable_shared_from_this<EndpointCall>
{
public:
  using Header = http::response_header<>;

  EndpointCall(const asio::any_io_executor& aExecutor,
               ConnectionPool& aPool,
               RunnerPtr aRunner,
               StagePathPtr aPath,
               CallInfo aInfo);
  ~EndpointCall() override;

  // Takes an idle connection or opens one.
  asio::awaitable<bool> Connect(Duration aTimeout);
  // Sends without waiting: an answer may come before all has been read.
  void Send(std::string aHeader, std::string_view aBody);
  // Reads up to the end of the answer's header.
  asio::awaitable<bool> ReadHeader();
  // Appends what has come of the body. False with End() None at the end of a
  // complete answer, with another reason otherwise.
  asio::awaitable<bool> ReadBody(std::string& aOut);
  // Reads the next answer on the same connection instead of this one.
  bool SkipAnswer();

  void Abort(CallEnd aWhy);
  // Keeps the connection if the answer was complete and nothing follows it.
  void Release(TimePoint aNow);

  void OnDeadline(TimePoint aNow) override;

  const Header& Answer() const { return m_parser->get().base(); }
  CallEnd End() const { return m_end; }
  bool MayHaveArrived() const { return m_sent; }
  bool IsNewConnection() const { return m_isNew; }
  // No answer to the connection's opening packet, which may have been lost.
  bool HasConnectTimedOut() const { return m_connectTimedOut; }
  const RunnerPtr& Target() const { return m_runner; }
  const StagePathPtr& Path() const { return m_path; }
  // The tokens from here on run on another path, with the same first engine.
  void SetPath(StagePathPtr aPath);
  // The prompt has been read: the first event is here.
  void NoteRead() { m_reservation.NoteRead(); }
  const std::string& AttemptId() const { return m_info.m_attemptId; }
  std::uint32_t ExpectedTokens() const { return m_info.m_tokens; }
  // An order to take another path is under way.
  bool IsRerouting() const { return m_isRerouting; }
  void SetRerouting(bool aIsRerouting) { m_isRerouting = aIsRerouting; }
  // Such an order was refused, or nobody could step in.
  bool MayReroute() const { return m_mayReroute; }
  void DenyReroute() { m_mayReroute = false; }

  TimePoint SentAt() const { return m_sentAt; }
  // When bytes last came; the sending time before that.
  TimePoint ProgressAt() const { return m_progressAt; }
  bool HasProgress() const { return m_progressAt > m_sentAt; }
  // Usual time between two arrivals of bytes.
  Duration AverageArrivalGap() const { return m_averageArrivalGap; }
  void SetAverageArrivalGap(Duration aGap) { m_averageArrivalGap = aGap; }
  // Asks whether the request may be given to another endpoint now, and takes
  // what that needs; a call that may not be given away is never ended for its
  // silence.
  void SetMoveClaim(std::function<bool()> aClaim)
  {
    m_moveClaim = std::move(aClaim);
  }
  bool ClaimMove() const { return m_moveClaim && m_moveClaim(); }

private:
  using Parser = http::response_parser<http::buffer_body>;

  void StartParser();
  asio::awaitable<bool> ReadMore();
  bool Fail(CallEnd aWhy);

  ConnectionPool& m_pool;
  const RunnerPtr m_runner;
  const CallInfo m_info;
  // Null for plain calls.
  StagePathPtr m_path;
  PathReservation m_reservation;
  bool m_isRerouting = false;
  bool m_mayReroute = true;
  // Null once it went back to the pool.
  EndpointConnectionPtr m_connection;
  std::optional<Parser> m_parser;
  std::string m_header;
  std::string_view m_body;
  std::array<char, 8192> m_chunk{};
  CallEnd m_end = CallEnd::None;
  TimePoint m_sentAt{};
  TimePoint m_progressAt{};
  bool m_sent = false;
  bool m_written = false;
  bool m_isNew = false;
  bool m_connectTimedOut = false;
  std::function<bool()> m_moveClaim;
  Duration m_averageArrivalGap{};
  bool m_atEnd = false;
};

using EndpointCallPtr = std::shared_ptr<EndpointCall>;

} // namespace parsleycove
