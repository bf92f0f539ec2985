// parsleycove-load: an open-loop load on running gateways; JSON lines out.
#include <csignal>
#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include "Bench/Load/Caller.h"
#include "Bench/Load/Report.h"
#include "Ctl/HttpTransport.h"
#include "Fakes/HttpClient.h"

namespace {

namespace asio = boost::asio;
using namespace parsleycove::load; // NOLINT: the whole program's namespace

asio::awaitable<void>
WaitUntil(TimePoint aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void>
RunOne(const LoadOptions& aOptions,
       const PlannedRequest& aRequest,
       TimePoint aStart,
       Outcome& aOutcome)
{
  co_await WaitUntil(aStart + aRequest.m_at);
  aOutcome = co_await SendRequest(aOptions, aRequest, aStart + aRequest.m_at);
}

asio::awaitable<void>
InjectFault(const LoadOptions& aOptions, TimePoint aStart)
{
  const std::chrono::duration<double> after(aOptions.m_faultAtSeconds);
  co_await WaitUntil(
    aStart + std::chrono::duration_cast<std::chrono::nanoseconds>(after));
  if (aOptions.m_fault == "silent") {
    const std::string switches = R"({"silent_connections":true})";
    co_await parsleycove::fakes::PostJson(aOptions.m_faultAddress,
                                          "/fake/faults",
                                          switches,
                                          std::chrono::seconds(1));
  } else {
    const int signal = aOptions.m_fault == "kill" ? SIGKILL : SIGSTOP;
    ::kill(aOptions.m_faultPid, signal);
  }
}

std::optional<RunCounts>
ReadAudits(const LoadOptions& aOptions)
{
  RunCounts runs;
  parsleycove::HttpTransport transport("");
  parsleycove::TransportReason reason;
  for (const auto& service : aOptions.m_services) {
    const auto answer = transport.Send(
      service, { parsleycove::HttpMethod::Get, "/fake/audit", "" }, reason);
    if (!answer) {
      return std::nullopt;
    }
    const boost::json::value rows = boost::json::parse(answer->m_body);
    for (const auto& row : rows.as_array()) {
      const auto& fields = row.as_object();
      runs[fields.at("key").as_string().c_str()] +=
        fields.at("times").to_number<std::uint64_t>();
    }
  }
  return runs;
}

} // namespace

int
main(int argc, char** argv)
{
  LoadOptions options;
  if (!ReadLoadOptions(argc, argv, options)) {
    return 1;
  }
  const std::vector<PlannedRequest> requests = PlanRequests(options);
  std::vector<Outcome> outcomes(requests.size());
  asio::io_context context(1);
  const TimePoint start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < requests.size(); ++i) {
    asio::co_spawn(context,
                   RunOne(options, requests[i], start, outcomes[i]),
                   asio::detached);
  }
  if (!options.m_fault.empty()) {
    asio::co_spawn(context, InjectFault(options, start), asio::detached);
  }
  context.run();
  PrintReport(options, requests, outcomes, ReadAudits(options), std::cout);
  return 0;
}
