// Chooses the Retry-After time of refused requests.
#include "Forwarding/RetryAfter.h"

#include <algorithm>
#include <cstdio>

#include "Forwarding/ForwardedRequest.h"

namespace parsleycove {

namespace {

// Callers accept a wait of up to a third of their remaining time.
constexpr int kTimeLeftDivisor = 4;

// Shortest time after which the cause of the refusal may have passed.
Duration
ExpectedWait(RefusalCause aCause)
{
  using std::chrono::milliseconds;
  switch (aCause) {
    case RefusalCause::NoConfiguration:
    case RefusalCause::NoLease:
      // Another VM can probably serve the retry.
      return milliseconds(50);
    case RefusalCause::NoEndpoint:
    case RefusalCause::NoPath:
      // An endpoint announces itself again within about a second.
      return milliseconds(600);
    case RefusalCause::PathsFull:
    case RefusalCause::GaveWay:
      // A stream ends after about half a second on a fast path.
      return milliseconds(300);
    case RefusalCause::EndpointsRefuse:
    case RefusalCause::EndpointsPaused:
      // Several calls of about 20 ms each are queued ahead, or will be when the
      // pause is over.
      return milliseconds(100);
    case RefusalCause::EndpointsLimited:
      // The next request that a limit allows is the end of the pause.
    case RefusalCause::CrashingPrompt:
    case RefusalCause::CrashingRequest:
      // The next trial of the part is the end of the pause.
      return milliseconds(0);
    case RefusalCause::EndpointsUnreached:
      // No VM in touch is known, and links stay lost for seconds.
      return milliseconds(400);
    case RefusalCause::OutOfTime:
    case RefusalCause::Stopping:
    case RefusalCause::Overloaded:
      // Another VM serves the retry.
      return milliseconds(20);
  }
  return milliseconds(100);
}

// Returns true if the caller waits for a place at an endpoint, and false if
// another VM can probably serve it at once.
bool
NeedsPlace(RefusalCause aCause)
{
  return aCause == RefusalCause::PathsFull || aCause == RefusalCause::GaveWay ||
         aCause == RefusalCause::EndpointsRefuse ||
         aCause == RefusalCause::EndpointsPaused ||
         aCause == RefusalCause::EndpointsLimited;
}

} // namespace

Duration
ChooseRetryAfter(TimePoint aNow,
                 const RefusedCaller& aCaller,
                 ReturnSchedule& aSchedule)
{
  const Duration most =
    std::max(aCaller.m_timeLeft, Duration::zero()) / kTimeLeftDivisor;
  ReturnRequest request;
  request.m_earliest =
    std::max(aCaller.m_pause,
             std::min(aCaller.m_pause + ExpectedWait(aCaller.m_cause), most));
  request.m_latest = std::max(most, aCaller.m_pause);
  request.m_draw = aCaller.m_draw;
  ReturnSchedule none;
  const Duration chosen =
    (NeedsPlace(aCaller.m_cause) ? aSchedule : none).Choose(aNow, request);
  return std::max<Duration>(chosen, std::chrono::milliseconds(1));
}

std::string
FormatSeconds(Duration aDuration)
{
  std::array<char, 32> text{};
  const double seconds = std::chrono::duration<double>(aDuration).count();
  const int length = std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return { text.data(), static_cast<std::size_t>(std::max(length, 0)) };
}

} // namespace parsleycove
