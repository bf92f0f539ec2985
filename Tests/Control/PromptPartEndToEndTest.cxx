// Tests of prompt parts with replicas and gateways' clients together.
#include <algorithm>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Control/Cluster.h"
#include "State/NamedEntities.h"
#include "State/PromptCommands.h"
#include "State/PromptPartTable.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

// Results of proposals that are under way at the same time.
class Results
{
public:
  ControlPort::ProposeHandler Collect()
  {
    return [this](std::optional<state::CommandResultT> aResult,
                  const ControlReason& /*aReason*/) {
      const std::lock_guard guard(m_mutex);
      m_results.push_back(std::move(aResult));
    };
  }
  std::size_t Count()
  {
    const std::lock_guard guard(m_mutex);
    return m_results.size();
  }
  std::size_t Count(ResultCode aCode)
  {
    const std::lock_guard guard(m_mutex);
    return static_cast<std::size_t>(std::count_if(
      m_results.begin(), m_results.end(), [aCode](const auto& aResult) {
        return aResult && aResult->code == aCode;
      }));
  }
  // Results of commands that became log entries.
  std::size_t CountEntries()
  {
    const std::lock_guard guard(m_mutex);
    return static_cast<std::size_t>(std::count_if(
      m_results.begin(), m_results.end(), [](const auto& aResult) {
        return aResult && aResult->index != 0;
      }));
  }

private:
  std::mutex m_mutex;
  std::vector<std::optional<state::CommandResultT>> m_results;
};

std::string
PackParts(const ControlPort& aPort)
{
  flatbuffers::FlatBufferBuilder builder;
  const state::ConfigImageT parts = CopyPromptParts(aPort.View()->Image());
  builder.Finish(state::ConfigImage::Pack(builder, &parts));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

bool
IsQuarantinedAt(const ControlPort& aPort, const std::string& aPart)
{
  const auto view = aPort.View();
  const auto* part = FindEntity(view->Image().prompt_parts, aPart);
  return part != nullptr && IsQuarantined(*part);
}

} // namespace

// clang-format off
TEST_GROUP(PromptPartEndToEnd)
{
  Cluster m_cluster;
  std::unique_ptr<ControlClient> m_client;

  void setup() override
  {
    for (std::size_t i = 0; i < 3; ++i) {
      m_cluster.Start(i, /*aBootstrap=*/true);
    }
    m_cluster.WaitForLeader();
    m_client = Connect("gateway", 0);
  }
  void teardown() override { m_client.reset(); }

  std::unique_ptr<ControlClient> Connect(const std::string& aVm, std::size_t aZone)
  {
    return std::make_unique<ControlClient>(
      m_cluster.ClientOptions(aVm, ZoneOf(aZone)));
  }
  // Proposes the command of 195 gateways at once and waits for all results.
  void ProposeAll(Results& aResults, const state::CommandT& aCommand)
  {
    constexpr std::size_t kGateways = 195;
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      m_client->Propose(aCommand, TestDeadline(), aResults.Collect());
    }
    CHECK(WaitUntil([&] { return aResults.Count() == kGateways; }));
  }
  // The time of the commands is the leader's.
  void Quarantine(const std::vector<std::string>& aParts)
  {
    for (std::uint64_t start = 1; start <= 3; ++start) {
      const auto answer = Propose(
        *m_client,
        MakePromptCrash("e", start, { { "a" + std::to_string(start), aParts } }, 0));
      CHECK(answer.m_value && answer.m_value->code == ResultCode::Ok);
    }
  }
};
// clang-format on

TEST(PromptPartEndToEnd, ACrashThatAllGatewaysReportIsOneLogEntry)
{
  Results reports;
  ProposeAll(reports, MakePromptCrash("e", 1, { { "a", { "bad" } } }, 0));
  CHECK_EQUAL(1, reports.Count(ResultCode::Ok));
  CHECK_EQUAL(194, reports.Count(ResultCode::Duplicate));
  CHECK_EQUAL(1, reports.CountEntries());
  Results clears;
  ProposeAll(clears, MakeClearParts({ "bad" }, 0));
  CHECK_EQUAL(1, clears.Count(ResultCode::Ok));
  CHECK_EQUAL(194, clears.Count(ResultCode::Duplicate));
  CHECK_EQUAL(1, clears.CountEntries());
}

// One gateway applies the commands, the other one starts from an image.
TEST(PromptPartEndToEnd, GatewaysGetTheTableWithChangesAndWithAnImage)
{
  CHECK(WaitUntil([&] { return m_client->HasLease(BootClock::now()); }));
  Quarantine({ "bad", "tied" });
  CHECK(WaitUntil([&] { return IsQuarantinedAt(*m_client, "bad"); }));
  const auto late = Connect("late", 1);
  CHECK(WaitUntil([&] { return IsQuarantinedAt(*late, "bad"); }));
  CHECK(PackParts(*m_client) == PackParts(*late));
  const auto view = late->View();
  const auto* bad = FindEntity(view->Image().prompt_parts, "bad");
  CHECK_EQUAL(2, FindTied(view->Image(), *bad).size());
  const auto clear = Propose(*late, MakeClearParts({ "tied" }, 0));
  CHECK(clear.m_value && clear.m_value->code == ResultCode::Ok);
  for (const auto* client : { m_client.get(), late.get() }) {
    CHECK(WaitUntil([&] { return !IsQuarantinedAt(*client, "tied"); }));
    CHECK(IsQuarantinedAt(*client, "bad"));
  }
  CHECK(PackParts(*m_client) == PackParts(*late));
}

TEST(PromptPartEndToEnd, ATrialIsGrantedByTheLeadersClock)
{
  Quarantine({ "bad" });
  // The proposer's clock is far ahead.
  const auto early =
    Propose(*m_client, MakeTryPart("bad", "a", ~std::uint64_t(0)));
  CHECK(early.m_value && early.m_value->code == ResultCode::Duplicate);
  CHECK(IsQuarantinedAt(*m_client, "bad") ||
        WaitUntil([&] { return IsQuarantinedAt(*m_client, "bad"); }));
}
