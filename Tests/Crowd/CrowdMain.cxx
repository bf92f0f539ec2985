// Shows that clients that keep to no limit neither end nor exhaust a process:
// starts a fleet, lets one crowd loose on one listener, and looks at what does
// not depend on the machine's speed.
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Crowd/Crowd.h"
#include "Crowd/ProcessGauges.h"
#include "Forwarding/EndpointClient.h"
#include "Soak/SoakScene.h"

namespace {

using namespace parsleycove;

// What one crowd may add to a process that serves ordinary requests.
constexpr std::size_t kMaxGrowthBytes = 16UL * 1024 * 1024;
// The same where endpoints are at fault: one answer of 8 MiB is not counted,
// and what holds an answer grows by copies.
constexpr std::size_t kMaxAnswerGrowthBytes = 96UL * 1024 * 1024;
constexpr int kLeastEndlessAnswers = 32;
constexpr std::size_t kMaxMoreDescriptors = kCrowdClients + 32;
// Only a failing run waits so long.
constexpr std::chrono::seconds kPatienceS{ 60 };
constexpr std::chrono::seconds kCallS{ 10 };
constexpr std::chrono::milliseconds kSliceMs{ 5 };
constexpr std::uint64_t kSeed = 99;
constexpr unsigned kHttp11 = 11;
constexpr unsigned kOk = 200;

class CrowdTest
{
public:
  CrowdTest(SoakOptions aOptions,
            const CrowdScript& aScript,
            std::string_view aListener)
    : m_scene(std::move(aOptions))
    , m_script(aScript)
    , m_isControl(aListener == "control")
    , m_isEndpoint(aListener == "endpoint")
  {
  }

  bool Run()
  {
    m_scene.m_fleet.StartAll();
    m_scene.m_operator->Change(false);
    m_scene.AddBackend(false);
    if (!RunUntil([this] { return m_scene.m_operator->IsSettled(); }) ||
        !RunUntil([this] { return Ask() == kOk; })) {
      return Fail("the fleet does not start to serve");
    }
    const pid_t process = Process().Id();
    const std::size_t memory = PeakMemoryBytes(process);
    const std::size_t descriptors = OpenDescriptors(process);
    SoakBackend& endless = *m_scene.m_backends.front();
    const int closedBefore = endless.ClosedAnswers();
    if (m_isEndpoint) {
      endless.SendEndlessly(
        m_script.m_answerHead, m_script.m_answerBytes, kLeastEndlessAnswers);
    }
    Crowd crowd(m_scene.m_context, Address(), Target(), m_script);
    crowd.Start();
    if (m_isEndpoint) {
      if (!RunUntil(
            [&] { return endless.EndlessAnswers() >= kLeastEndlessAnswers; })) {
        return Fail("too few endless answers have begun: " +
                    std::to_string(endless.EndlessAnswers()));
      }
      m_scene.AddBackend(false);
      if (!RunUntil([this] { return Ask() == kOk; })) {
        return Fail("ordinary requests beside endless answers are not served");
      }
    }
    std::size_t mostDescriptors = 0;
    const bool isRead = RunUntil([&] {
      mostDescriptors = std::max(mostDescriptors, OpenDescriptors(process));
      return !Process().IsRunning() ||
             (crowd.HasSent() && !HasUnreadBytes(Address()) &&
              endless.ClosedAnswers() - closedBefore >=
                endless.EndlessAnswers());
    });
    const unsigned status = Ask();
    const std::size_t peak = PeakMemoryBytes(process);
    std::cout << "peak memory " << memory / 1024 << " KiB before and "
              << peak / 1024 << " KiB after, most descriptors "
              << mostDescriptors << ", clients cut off " << crowd.CutOff()
              << ", endless answers " << endless.EndlessAnswers() << "\n";
    bool isGood = true;
    if (!Process().IsRunning() || Process().Id() != process) {
      isGood = Fail("the process has ended");
    }
    if (!isRead) {
      isGood = Fail("the process hangs");
    }
    if (peak >
        memory + (m_isEndpoint ? kMaxAnswerGrowthBytes : kMaxGrowthBytes)) {
      isGood = Fail("the process takes too much memory");
    }
    // Each request has a connection to its endpoint besides.
    const std::size_t connections = m_isEndpoint ? 2 : 1;
    if (mostDescriptors > descriptors + connections * kMaxMoreDescriptors) {
      isGood = Fail("the process takes too many descriptors");
    }
    if (status != kOk) {
      isGood = Fail("an ordinary request got status " + std::to_string(status) +
                    " (0: no answer)");
    }
    return isGood;
  }

private:
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const TimePoint deadline = BootClock::now() + kPatienceS;
    while (!aCondition()) {
      if (BootClock::now() > deadline) {
        return false;
      }
      m_scene.m_context.run_for(kSliceMs);
      m_scene.m_context.restart();
    }
    return true;
  }

  // Sends one ordinary request. Returns the status, or 0 if no answer came.
  unsigned Ask()
  {
    std::optional<CallResult> result;
    boost::asio::co_spawn(
      m_scene.m_context,
      [&]() -> boost::asio::awaitable<void> {
        HttpRequest request(http::verb::get,
                            m_isControl ? "/parsleycove/config"
                                        : "/safe/ordinary",
                            kHttp11);
        request.set(http::field::host, "one.example");
        request.set(http::field::authorization, "Bearer k1");
        request.set("Attempt-Id", "ordinary");
        result = co_await m_client.Call(
          Address(), request, kCallS, ConnectionChoice::New);
      },
      boost::asio::detached);
    RunUntil([&] { return result.has_value(); });
    return result && result->m_response ? result->m_response->result_int() : 0;
  }

  bool Fail(const std::string& aWhat)
  {
    std::cout << "FAILED: " << aWhat << "\n";
    return false;
  }

  const char* Target() const
  {
    if (m_isControl) {
      return "/parsleycove/config";
    }
    return m_isEndpoint ? "/unsafe/crowd" : "/safe/crowd";
  }

  SoakProcess& Process()
  {
    return m_isControl ? m_scene.m_fleet.Control(0) : m_scene.m_fleet.Entry(0);
  }

  SocketAddress Address() const
  {
    return m_isControl ? m_scene.m_fleet.ControlAddress(0)
                       : m_scene.m_fleet.EntryAddress(0);
  }

  SoakScene m_scene;
  const CrowdScript& m_script;
  const bool m_isControl;
  // The crowd's endpoint is at fault, and not the crowd.
  const bool m_isEndpoint;
  EndpointClient m_client{ m_scene.m_context.get_executor() };
};

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kArguments = 5;
  const CrowdScript* script = argc == kArguments ? FindCrowd(argv[3]) : nullptr;
  const std::string listener = argc == kArguments ? argv[4] : "";
  const bool isEndpoint = listener == "endpoint";
  if (script == nullptr || isEndpoint == script->m_answerBytes.empty() ||
      (!isEndpoint && listener != "entry" && listener != "control")) {
    std::cerr << "usage: parsleycove-crowd PROGRAM FOLDER CROWD "
                 "entry|control|endpoint\n";
    return 2;
  }
  SoakOptions options;
  options.m_program = argv[1];
  options.m_folder = std::filesystem::absolute(argv[2]).string() + "/" +
                     argv[3] + "-" + listener;
  options.m_seed = kSeed;
  options.m_entries = 1;
  options.m_settings = { "PARSLEYCOVE_RECEIVE_BUDGET_BYTES=4194304",
                         "PARSLEYCOVE_ANSWER_BUDGET_BYTES=4194304" };
  std::filesystem::remove_all(options.m_folder);
  std::filesystem::create_directories(options.m_folder);
  return CrowdTest(options, *script, listener).Run() ? 0 : 1;
}
