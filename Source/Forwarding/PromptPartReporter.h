// Exchanges evidence about parts of requests that crash endpoints with the
// control group, and decides whether a request may be sent. A part is a piece
// of a prompt, or the request as a whole.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "Routing/PathSelector.h"
#include "Routing/PromptPartGuard.h"
#include "State/ControlPort.h"
#include "Wire/Http.h"

namespace parsleycove {

class DecisionLog;
class ForwardMetrics;

// Used by one thread only.
class PromptPartReporter
{
public:
  using Parts = PromptPartGuard::Parts;

  PromptPartReporter(asio::io_context& aContext,
                     ControlPort& aControl,
                     DecisionLog& aLog,
                     ForwardMetrics& aMetrics,
                     std::uint64_t aSeed);

  // Records that an answer to a request with these parts has begun.
  void RecordBegun(TimePoint aNow, Parts aParts);
  // Records that an attempt on aPath ended before its first event.
  void RecordUnanswered(TimePoint aNow,
                        std::string_view aAttemptId,
                        Parts aParts,
                        const StagePath& aPath);
  // Records that an attempt at an endpoint of a plain service ended before its
  // answer began.
  void RecordUnanswered(TimePoint aNow,
                        std::string_view aAttemptId,
                        Parts aParts,
                        const Runner& aEndpoint);
  // Records that this VM lost an engine, which may be the fault of the VM's own
  // link. Nothing is reported before the loss is confirmed.
  void RecordLostEngine(TimePoint aNow, const Runner& aEngine);
  // Records that a lost engine has ended.
  void ConfirmLostEngine(TimePoint aNow, const Runner& aEngine);
  // Returns true if answers have begun lately on each of the parts.
  bool AreProved(TimePoint aNow, Parts aParts) const;

  // Decides on a request by the table of the control group. Try: the request
  // may be sent only if ClaimTrial grants it.
  PartDecision Decide(Parts aParts) const;
  // Asks the control group to let one request through although aPart is
  // quarantined. Of all gateways' claims it grants one for each trial.
  asio::awaitable<bool> ClaimTrial(std::string aPart, std::string aAttemptId);

  // Sends what is due to the control group, and logs changes of the table.
  void Flush(TimePoint aNow);

private:
  // A report that the control group has not answered yet.
  struct PendingReport
  {
    state::CommandT m_command;
    TimePoint m_firstSentAt{};
    TimePoint m_sentAt{};
    // Set by the thread that calls the handlers.
    std::shared_ptr<std::atomic<bool>> m_isAnswered;
  };

  void SendReports(TimePoint aNow);
  // Sends reports without an answer again, since a crash that is forgotten
  // costs another endpoint. The control group passes over what it has already.
  void SendPendingAgain(TimePoint aNow);
  void SendReport(TimePoint aNow, PendingReport& aReport);
  void SendClears(TimePoint aNow, const state::ConfigImageT& aImage);
  void LogChanges(const state::ConfigImageT& aImage);
  void Propose(TimePoint aNow, state::CommandT aCommand);

  asio::io_context& m_context;
  ControlPort& m_control;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
  PromptPartGuard m_guard;
  // Oldest first.
  std::deque<PendingReport> m_pending;
  // The quarantined parts that were logged.
  std::set<std::string> m_quarantined;
};

} // namespace parsleycove
