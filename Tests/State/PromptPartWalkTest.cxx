// A seeded fleet with one part that crashes engines: gateways lose, repeat and
// delay their reports.
#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "State/ConfigState.h"
#include "State/NamedEntities.h"
#include "State/PromptCommands.h"
#include "State/PromptPartTable.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr std::uint64_t kStart = 1'000'000; // ms
constexpr std::uint64_t kStepMs = 10;
constexpr std::size_t kEngines = 16;
constexpr std::size_t kGateways = 8;
constexpr std::size_t kSoundParts = 40;
const std::string kCulprit = "culprit";

struct Request
{
  std::string m_attempt;
  std::size_t m_gateway = 0;
  std::vector<std::string> m_parts;
  std::uint64_t m_endsAt = 0; // when its answer begins or its engine crashes
  int m_engines = 0;          // that it was sent to
};

struct Engine
{
  std::uint64_t m_incarnation = 1;
  std::vector<Request> m_requests;
};

class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  void RunUntil(std::uint64_t aUnixMs, bool aHasCulprit)
  {
    for (; m_now < aUnixMs; m_now += kStepMs) {
      ApplyDue();
      Arrive(aHasCulprit);
      for (std::size_t engine = 0; engine < kEngines; ++engine) {
        Advance(engine);
      }
    }
  }
  // Requests with the culprit sent later than 3 s after the fifth crash.
  std::size_t LateCulprits() const { return m_lateCulprits; }
  std::vector<std::string> ListQuarantined() const
  {
    std::vector<std::string> list;
    for (const auto& part : m_config.Image().prompt_parts) {
      if (IsQuarantined(*part)) {
        list.push_back(part->id);
      }
    }
    return list;
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return m_random() % aCount; }
  bool HasChance(std::uint64_t aPercent) { return Pick(100) < aPercent; }

  void Arrive(bool aHasCulprit)
  {
    if (!HasChance(60)) {
      return;
    }
    Request request;
    request.m_attempt = "a" + std::to_string(++m_requests);
    request.m_gateway = Pick(kGateways);
    const std::uint64_t count = 1 + Pick(3);
    for (std::uint64_t part = 0; part < count; ++part) {
      request.m_parts.push_back("p" + std::to_string(Pick(kSoundParts)));
    }
    if (aHasCulprit && HasChance(10)) {
      request.m_parts.insert(request.m_parts.begin() + Pick(count + 1),
                             kCulprit);
    }
    if (!IsRefused(request) || IsTrial(request)) {
      Send(std::move(request));
    }
  }
  static bool Has(const Request& aRequest, const std::string& aPart)
  {
    return std::find(aRequest.m_parts.begin(), aRequest.m_parts.end(), aPart) !=
           aRequest.m_parts.end();
  }
  bool IsRefusedFor(const Request& aRequest, const std::string& aPart) const
  {
    const auto* part = FindEntity(m_config.Image().prompt_parts, aPart);
    if (part == nullptr || !IsQuarantined(*part)) {
      return false;
    }
    const auto tied = FindTied(m_config.Image(), *part);
    return std::all_of(tied.begin(), tied.end(), [&](const auto* aTied) {
      return Has(aRequest, aTied->id);
    });
  }
  bool IsRefused(const Request& aRequest) const
  {
    return std::any_of(
      aRequest.m_parts.begin(), aRequest.m_parts.end(), [&](const auto& aPart) {
        return IsRefusedFor(aRequest, aPart);
      });
  }
  bool IsTrial(const Request& aRequest)
  {
    return std::all_of(
      aRequest.m_parts.begin(), aRequest.m_parts.end(), [&](const auto& aPart) {
        return !IsRefusedFor(aRequest, aPart) ||
               Apply(MakeTryPart(aPart, aRequest.m_attempt, m_now)) ==
                 ResultCode::Ok;
      });
  }
  void Send(Request aRequest)
  {
    if (Has(aRequest, kCulprit) && m_fifthCrashAt != 0 &&
        m_now > m_fifthCrashAt + 3000) {
      ++m_lateCulprits;
    }
    aRequest.m_endsAt = m_now + 20 + Pick(200);
    ++aRequest.m_engines;
    m_engines[Pick(kEngines)].m_requests.push_back(std::move(aRequest));
  }
  void Advance(std::size_t aEngine)
  {
    auto& requests = m_engines[aEngine].m_requests;
    for (std::size_t place = 0; place < requests.size();) {
      if (requests[place].m_endsAt > m_now) {
        ++place;
        continue;
      }
      if (Has(requests[place], kCulprit)) {
        CrashEngine(aEngine);
        return;
      }
      Begin(requests[place]);
      requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(place));
    }
  }
  void Begin(const Request& aRequest)
  {
    for (const std::string& part : aRequest.m_parts) {
      const auto* listed = FindEntity(m_config.Image().prompt_parts, part);
      if (listed != nullptr && !listed->crashes.empty() && HasChance(80)) {
        m_due.emplace(m_now + Pick(150), MakeClearParts({ part }, 0));
      }
    }
  }
  void CrashEngine(std::size_t aEngine)
  {
    if (++m_crashes == 5) {
      m_fifthCrashAt = m_now;
    }
    std::vector<Request> lost;
    lost.swap(m_engines[aEngine].m_requests);
    const std::uint64_t incarnation = m_engines[aEngine].m_incarnation++;
    std::map<std::size_t, std::vector<Suspect>> suspects;
    for (const Request& request : lost) {
      suspects[request.m_gateway].push_back(
        { request.m_attempt, request.m_parts });
    }
    for (const auto& [gateway, list] : suspects) {
      const int copies = HasChance(15) ? 0 : 1 + (HasChance(30) ? 1 : 0);
      for (int copy = 0; copy < copies; ++copy) {
        m_due.emplace(
          m_now + Pick(300),
          MakePromptCrash("e" + std::to_string(aEngine), incarnation, list, 0));
      }
    }
    for (Request& request : lost) {
      if (request.m_engines < 2 && !IsRefused(request)) {
        Send(std::move(request));
      }
    }
  }
  void ApplyDue()
  {
    while (!m_due.empty() && m_due.begin()->first <= m_now) {
      state::CommandT command = m_due.begin()->second;
      m_due.erase(m_due.begin());
      if (auto* report = command.body.AsReportPromptCrash()) {
        report->unix_ms = m_now;
      } else {
        command.body.AsClearPromptParts()->unix_ms = m_now;
      }
      Apply(command);
    }
  }
  ResultCode Apply(const state::CommandT& aCommand)
  {
    const auto result = m_config.Apply(++m_index, aCommand);
    const auto* clear = aCommand.body.AsClearPromptParts();
    if (clear != nullptr && result.code == ResultCode::Ok) {
      m_clearedAt[clear->parts.front()] = m_now;
    }
    for (const auto& [part, at] : m_clearedAt) {
      const auto* listed = FindEntity(m_config.Image().prompt_parts, part);
      CHECK(m_now >= at + kClearHoldMs || listed == nullptr ||
            !IsQuarantined(*listed));
    }
    return result.code;
  }

  std::mt19937_64 m_random;
  ConfigState m_config;
  std::uint64_t m_index = 0;
  std::uint64_t m_now = kStart;
  std::uint64_t m_requests = 0;
  std::size_t m_crashes = 0;
  std::uint64_t m_fifthCrashAt = 0;
  std::size_t m_lateCulprits = 0;
  std::array<Engine, kEngines> m_engines;
  // Commands on their way to the log, by the time at which they arrive.
  std::multimap<std::uint64_t, state::CommandT> m_due;
  std::map<std::string, std::uint64_t> m_clearedAt;
};

} // namespace

TEST_GROUP(PromptPartWalk){};

TEST(PromptPartWalk, TheCulpritIsQuarantinedAndSoundPartsAreNot)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet fleet(seed);
    fleet.RunUntil(kStart + 5000, /*aHasCulprit=*/false);
    LONGS_EQUAL(0, fleet.ListQuarantined().size());
    fleet.RunUntil(kStart + 80'000, /*aHasCulprit=*/true);
    const std::string text = "seed " + std::to_string(seed);
    const auto quarantined = fleet.ListQuarantined();
    // The trials after 10 s and after further 60 s.
    LONGS_EQUAL_TEXT(2, fleet.LateCulprits(), text.c_str());
    LONGS_EQUAL_TEXT(1, quarantined.size(), text.c_str());
    STRCMP_EQUAL_TEXT(
      kCulprit.c_str(), quarantined.front().c_str(), text.c_str());
  }
}
