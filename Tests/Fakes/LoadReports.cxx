// Load figures that are reported with a lag, as those of real engines are.
#include "Fakes/LoadReports.h"

namespace parsleycove::fakes {

void
LoadReports::Record(Time aNow, Load aLoad)
{
  m_samples.push_back({ aNow, aLoad });
  Report(aNow); // forgets what no later report needs
}

Load
LoadReports::Report(Time aNow)
{
  const Time seen = aNow - m_lag;
  while (m_samples.size() > 1 && m_samples[1].m_time <= seen) {
    m_samples.pop_front();
  }
  if (m_samples.empty() || m_samples.front().m_time > seen) {
    return {};
  }
  return m_samples.front().m_load;
}

} // namespace parsleycove::fakes
