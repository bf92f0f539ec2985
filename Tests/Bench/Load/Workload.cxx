// The requests of one run: open-loop arrivals with a fixed seed.
#include "Bench/Load/Workload.h"

#include <random>

namespace parsleycove::load {

namespace {

// Shares of the kinds of requests, in the order of RequestKind.
std::vector<double>
SharesOf(const std::string& aProfile)
{
  if (aProfile == "sabarmati") {
    return { 0.65, 0.15, 0.20 };
  }
  return { 0.50, 0.20, 0.30 };
}

// Two large accounts send 60 % of all requests.
std::vector<double>
AccountWeights(std::size_t aAccounts)
{
  std::vector<double> weights(aAccounts, 1.0);
  const double small = static_cast<double>(aAccounts) - 2;
  for (std::size_t i = 0; i < 2 && small > 0; ++i) {
    weights[i] = 0.75 * small;
  }
  return weights;
}

} // namespace

std::vector<PlannedRequest>
PlanRequests(const LoadOptions& aOptions)
{
  std::mt19937_64 random(aOptions.m_seed);
  std::exponential_distribution<double> gap(aOptions.m_requestsPerSecond);
  const auto shares = SharesOf(aOptions.m_profile);
  const auto weights = AccountWeights(aOptions.m_accountKeys.size());
  std::discrete_distribution<int> kind(shares.begin(), shares.end());
  std::discrete_distribution<std::size_t> account(weights.begin(),
                                                  weights.end());
  std::vector<PlannedRequest> requests;
  for (double at = gap(random); at < aOptions.m_seconds; at += gap(random)) {
    PlannedRequest request;
    request.m_at = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(at));
    request.m_kind = static_cast<RequestKind>(kind(random));
    request.m_gateway = random() % aOptions.m_gateways.size();
    request.m_account = account(random);
    request.m_seed = random() % 1'000'000;
    const std::string number = std::to_string(requests.size());
    request.m_text = request.m_kind == RequestKind::Briefing
                       ? "ice window near station " + number
                       : aOptions.m_label + '-' + number;
    requests.push_back(std::move(request));
  }
  return requests;
}

} // namespace parsleycove::load
