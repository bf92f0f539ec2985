// When a refused caller should come back.
#include "Forwarding/RetryAfter.h"

#include <algorithm>
#include <cstdio>

#include "Forwarding/ForwardedRequest.h"

namespace parsleycove {

namespace {

// Callers follow a wait of up to a third of the time they have left.
constexpr int kTimeLeftDivisor = 4;

// When the cause has most likely passed.
Duration
ExpectedWait(RefusalCause aCause)
{
  using std::chrono::milliseconds;
  switch (aCause) {
    case RefusalCause::NoConfiguration:
    case RefusalCause::NoLease:
      // Another VM is most likely sound.
      return milliseconds(50);
    case RefusalCause::NoEndpoint:
    case RefusalCause::NoPath:
      // An endpoint announces itself again within about a second.
      return milliseconds(600);
    case RefusalCause::PathsFull:
      // A stream ends after about half a second on a fast path.
      return milliseconds(300);
    case RefusalCause::EndpointsRefuse:
      // Some calls of about 20 ms each are ahead.
      return milliseconds(100);
    case RefusalCause::OutOfTime:
    case RefusalCause::Stopping:
      // Another VM takes it.
      return milliseconds(20);
  }
  return milliseconds(100);
}

} // namespace

Duration
ChooseRetryAfter(RefusalCause aCause, Duration aTimeLeft, double aDraw)
{
  const Duration expected = ExpectedWait(aCause);
  const Duration spread =
    expected + Duration(static_cast<Duration::rep>(
                 static_cast<double>(expected.count()) * aDraw));
  const Duration most =
    std::max(aTimeLeft, Duration::zero()) / kTimeLeftDivisor;
  return std::max<Duration>(std::min(spread, most),
                            std::chrono::milliseconds(1));
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
