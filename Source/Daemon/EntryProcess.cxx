// Role entry: forwards callers' requests.
#include "Daemon/EntryProcess.h"

#include <boost/asio/steady_timer.hpp>

#include "Daemon/ProcessFrame.h"
#include "Forwarding/ForwardGateway.h"
#include "Telemetry/StandardStreams.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kStopCheckMs{ 50 };

// Ends the process once the gateway has nothing in progress any more.
class StopCheck
{
public:
  StopCheck(ProcessFrame& aFrame, ForwardGateway& aGateway)
    : m_frame(aFrame)
    , m_gateway(aGateway)
    , m_timer(aFrame.Context())
  {
  }

  void Begin()
  {
    m_gateway.BeginStop();
    CheckLater();
  }

private:
  void CheckLater()
  {
    m_timer.expires_after(kStopCheckMs);
    m_timer.async_wait([this](boost::system::error_code) {
      if (m_gateway.IsStopped(BootClock::now())) {
        m_frame.End();
      } else {
        CheckLater();
      }
    });
  }

  ProcessFrame& m_frame;
  ForwardGateway& m_gateway;
  asio::steady_timer m_timer;
};

} // namespace

DaemonExit
RunEntryProcess(const DaemonSettings& aSettings,
                const SettingReader& aReader,
                Deployment& aDeployment)
{
  ProcessFrame frame(aSettings, aReader);
  ControlClient control(aSettings.m_client);
  ForwardGateway gateway(frame.Context(),
                         aSettings.m_forward,
                         aDeployment.Dialect(),
                         aDeployment.ConfigCodec(),
                         control,
                         frame.Decisions(),
                         frame.Metrics());
  StopCheck stop(frame, gateway);
  const OperationDropper dropper(frame, [&] { control.Stop(); });
  std::string reason;
  if (!gateway.Start(reason) || !frame.Start(
                                  control,
                                  [&] {
                                    control.AnnounceStopping();
                                    stop.Begin();
                                  },
                                  reason)) {
    StandardError().Write("parsleycoved: " + reason);
    return DaemonExit::CannotStart;
  }
  frame.Run();
  return DaemonExit::Stopped;
}

} // namespace parsleycove
