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
  CrowdTest(SoakOptions aOptions, const CrowdScript& aScript, bool aIsControl)
    : m_scene(std::move(aOptions))
    , m_script(aScript)
    , m_isControl(aIsControl)
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
    Crowd crowd(m_scene.m_context,
                Address(),
                m_isControl ? "/parsleycove/config" : "/safe/crowd",
                m_script);
    crowd.Start();
    std::size_t mostDescriptors = 0;
    const bool isRead = RunUntil([&] {
      mostDescriptors = std::max(mostDescriptors, OpenDescriptors(process));
      return !Process().IsRunning() ||
             (crowd.HasSent() && !HasUnreadBytes(Address()));
    });
    const unsigned status = Ask();
    const std::size_t peak = PeakMemoryBytes(process);
    std::cout << "peak memory " << memory / 1024 << " KiB before and "
              << peak / 1024 << " KiB after, most descriptors "
              << mostDescriptors << ", clients cut off " << crowd.CutOff()
              << "\n";
    bool isGood = true;
    if (!Process().IsRunning() || Process().Id() != process) {
      isGood = Fail("the process has ended");
    }
    if (!isRead) {
      isGood = Fail("the process hangs");
    }
    if (peak > memory + kMaxGrowthBytes) {
      isGood = Fail("the process takes too much memory");
    }
    if (mostDescriptors > descriptors + kMaxMoreDescriptors) {
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
  EndpointClient m_client{ m_scene.m_context.get_executor() };
};

} // namespace

int
main(int argc, char** argv)
{
  constexpr int kArguments = 5;
  const CrowdScript* script = argc == kArguments ? FindCrowd(argv[3]) : nullptr;
  const std::string listener = argc == kArguments ? argv[4] : "";
  if (script == nullptr || (listener != "entry" && listener != "control")) {
    std::cerr
      << "usage: parsleycove-crowd PROGRAM FOLDER CROWD entry|control\n";
    return 2;
  }
  SoakOptions options;
  options.m_program = argv[1];
  options.m_folder = std::filesystem::absolute(argv[2]).string() + "/" +
                     argv[3] + "-" + listener;
  options.m_seed = kSeed;
  options.m_entries = 1;
  options.m_settings = { "PARSLEYCOVE_RECEIVE_BUDGET_BYTES=4194304" };
  std::filesystem::remove_all(options.m_folder);
  std::filesystem::create_directories(options.m_folder);
  return CrowdTest(options, *script, listener == "control").Run() ? 0 : 1;
}
