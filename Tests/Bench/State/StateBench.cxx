// Measures the replicated state at the design size and prints JSON lines.
//
// Usage: StateBench [ledger entries]
#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "State/CommandCodec.h"
#include "State/ReplicatedState.h"

namespace {

using namespace parsleycove;

constexpr std::uint64_t kTerm = 1;
constexpr std::uint64_t kAccounts = 7800;
constexpr std::uint64_t kEndpoints = 820;
constexpr std::uint64_t kModels = 6;
constexpr std::uint64_t kLayers = 64;
constexpr std::uint64_t kDefaultActions = 1'000'000;
constexpr std::uint64_t kRounds = 20'000;
constexpr std::uint64_t kChangeRounds = 2'000;
constexpr std::uint64_t kUnixMs = 1'700'000'000'000;
constexpr std::size_t kAnswerBytes = 120;

using Clock = std::chrono::steady_clock;

double
SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

template<typename Body>
state::CommandT
Wrap(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

std::string
Number(const char* aFormat, std::uint64_t aNumber)
{
  std::array<char, 96> text{};
  std::snprintf(text.data(),
                text.size(),
                aFormat,
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

std::string
MakeKey(std::uint64_t aNumber)
{
  return Number("018bcfe5-6800-7000-8000-%012llx", aNumber);
}

std::string
MakeAccount(std::uint64_t aNumber)
{
  return "account-" + std::to_string(aNumber % kAccounts);
}

std::unique_ptr<state::ClientAccountT>
MakeAccountEntity(std::uint64_t aNumber, std::uint64_t aKey)
{
  auto account = std::make_unique<state::ClientAccountT>();
  account->name = MakeAccount(aNumber);
  account->key_hash = Number("%064llx", aKey);
  account->default_class = "urgent";
  return account;
}

state::CommandT
MakeBaseChange()
{
  auto change = std::make_unique<state::ConfigChangeT>();
  auto work = std::make_unique<state::WorkClassT>();
  work->name = "urgent";
  work->first_token_ms = 1500;
  work->completion_ms = 60'000;
  work->success_per_mille = 950;
  change->put_classes.push_back(std::move(work));
  for (std::uint64_t model = 0; model < kModels; ++model) {
    auto entity = std::make_unique<state::ModelT>();
    entity->name = "model-" + std::to_string(model);
    entity->version = "1";
    entity->layers = kLayers;
    change->put_models.push_back(std::move(entity));
  }
  for (std::uint64_t account = 0; account < kAccounts; ++account) {
    change->put_accounts.push_back(MakeAccountEntity(account, account));
  }
  state::ApplyChangeT apply;
  apply.change_id = "base";
  apply.operator_name = "bench";
  apply.unix_ms = kUnixMs;
  apply.change = std::move(change);
  return Wrap(std::move(apply));
}

state::CommandT
MakeAccountChange(std::uint64_t aNumber, std::uint64_t aRevision)
{
  state::ApplyChangeT apply;
  apply.change_id = "change-" + std::to_string(aNumber);
  apply.base_revision = aRevision;
  apply.operator_name = "bench";
  apply.unix_ms = kUnixMs;
  apply.change = std::make_unique<state::ConfigChangeT>();
  apply.change->put_accounts.push_back(
    MakeAccountEntity(aNumber, kAccounts + aNumber));
  return Wrap(std::move(apply));
}

state::CommandT
MakeAnnounce(std::uint64_t aNumber, std::uint64_t aIncarnation)
{
  auto endpoint = std::make_unique<state::EndpointT>();
  endpoint->id = "engine-" + std::to_string(aNumber);
  endpoint->incarnation = aIncarnation;
  endpoint->address = "10.1.2.3";
  endpoint->port = 9000;
  endpoint->zone = "zone-" + std::to_string(aNumber % 6);
  endpoint->model = "model-" + std::to_string(aNumber % kModels);
  endpoint->version = "1";
  endpoint->last_layer = 7;
  endpoint->accelerator = "kind-" + std::to_string(aNumber % 7);
  endpoint->tokens_per_second = 4000;
  endpoint->slots = 64;
  state::AnnounceEndpointT announce;
  announce.endpoint = std::move(endpoint);
  return Wrap(std::move(announce));
}

state::CommandT
MakeReserve(std::uint64_t aNumber)
{
  state::ReserveActionT reserve;
  reserve.account = MakeAccount(aNumber);
  reserve.key = MakeKey(aNumber);
  reserve.fingerprint = Number("%064llx", aNumber);
  reserve.gateway = "gateway-" + std::to_string(aNumber % 370);
  reserve.gateway_epoch = 1;
  reserve.unix_ms = kUnixMs;
  return Wrap(std::move(reserve));
}

state::CommandT
MakeDispatch(std::uint64_t aNumber)
{
  state::DispatchActionT dispatch;
  dispatch.account = MakeAccount(aNumber);
  dispatch.key = MakeKey(aNumber);
  dispatch.attempt = 1;
  dispatch.unix_ms = kUnixMs;
  dispatch.endpoint = std::make_unique<state::EndpointRefT>();
  dispatch.endpoint->id = "booking-1";
  dispatch.endpoint->incarnation = 1;
  return Wrap(std::move(dispatch));
}

state::CommandT
MakeComplete(std::uint64_t aNumber)
{
  state::CompleteActionT complete;
  complete.account = MakeAccount(aNumber);
  complete.key = MakeKey(aNumber);
  complete.attempt = 1;
  complete.unix_ms = kUnixMs;
  complete.answer = std::make_unique<state::StoredAnswerT>();
  complete.answer->status = 200;
  complete.answer->content_type = "application/json";
  complete.answer->body.assign(kAnswerBytes, 'x');
  return Wrap(std::move(complete));
}

class StateBench
{
public:
  explicit StateBench(std::uint64_t aActions)
    : m_actions(aActions)
  {
  }

  int Run()
  {
    Apply(MakeBaseChange());
    for (std::uint64_t number = 0; number < kEndpoints; ++number) {
      Apply(MakeAnnounce(number, 1));
    }
    ReportImage("configuration_only");
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint64_t number = 0; number < m_actions; ++number) {
      Apply(MakeReserve(number));
      Apply(MakeDispatch(number));
      Apply(MakeComplete(number));
    }
    const std::size_t after = mallinfo2().uordblks;
    std::printf("{\"bench\":\"state_memory\",\"actions\":%llu,"
                "\"heap_bytes_per_action\":%.0f}\n",
                static_cast<unsigned long long>(m_actions),
                static_cast<double>(after - before) /
                  static_cast<double>(m_actions));
    ReportImage("full");
    MeasureKinds();
    return m_failed ? EXIT_FAILURE : EXIT_SUCCESS;
  }

private:
  void Apply(const state::CommandT& aCommand)
  {
    const auto result = m_state.Apply(++m_index, kTerm, aCommand);
    if (result.code != state::ResultCode::Ok) {
      std::fprintf(stderr, "refused: %s\n", result.text.c_str());
      m_failed = true;
    }
  }

  void ReportImage(const char* aWhat)
  {
    auto start = Clock::now();
    const auto image = m_state.TakeImage();
    const double taken = SecondsSince(start);
    start = Clock::now();
    ReplicatedState restored(m_limits);
    m_failed = m_failed || !restored.Restore(image);
    std::printf("{\"bench\":\"state_image\",\"what\":\"%s\",\"bytes\":%zu,"
                "\"take_s\":%.4f,\"restore_s\":%.4f}\n",
                aWhat,
                image.size(),
                taken,
                SecondsSince(start));
  }

  void Measure(const char* aKind,
               std::uint64_t aCount,
               const std::function<state::CommandT(std::uint64_t)>& aMake)
  {
    std::vector<state::CommandT> commands;
    std::size_t bytes = 0;
    for (std::uint64_t number = 0; number < aCount; ++number) {
      commands.push_back(aMake(number));
      bytes += EncodeCommand(commands.back()).size();
    }
    const auto start = Clock::now();
    for (const state::CommandT& command : commands) {
      Apply(command);
    }
    std::printf("{\"bench\":\"state_apply\",\"kind\":\"%s\",\"count\":%llu,"
                "\"ns_per_apply\":%.0f,\"encoded_bytes\":%zu}\n",
                aKind,
                static_cast<unsigned long long>(aCount),
                SecondsSince(start) * 1e9 / static_cast<double>(aCount),
                bytes / aCount);
  }

  void MeasureKinds()
  {
    const std::uint64_t first = m_actions;
    Measure("reserve", kRounds, [&](std::uint64_t aNumber) {
      return MakeReserve(first + aNumber);
    });
    Measure("dispatch", kRounds, [&](std::uint64_t aNumber) {
      return MakeDispatch(first + aNumber);
    });
    Measure("complete", kRounds, [&](std::uint64_t aNumber) {
      return MakeComplete(first + aNumber);
    });
    Measure("reserve_again", kRounds, MakeReserve);
    Measure("announce", kRounds, [](std::uint64_t aNumber) {
      return MakeAnnounce(aNumber % kEndpoints, 2 + aNumber / kEndpoints);
    });
    const std::uint64_t revision = m_state.Config().revision;
    Measure("change_of_one_account", kChangeRounds, [&](std::uint64_t aNumber) {
      return MakeAccountChange(aNumber, revision + aNumber);
    });
  }

  std::uint64_t m_actions;
  // Room for the measured rounds beyond the bound that is filled.
  StateLimits m_limits = [] {
    StateLimits limits;
    limits.m_maxActions *= 2;
    limits.m_maxActionBytes *= 2;
    return limits;
  }();
  ReplicatedState m_state{ m_limits };
  std::uint64_t m_index = 0;
  bool m_failed = false;
};

} // namespace

int
main(int argc, char** argv)
{
  const std::uint64_t actions =
    argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultActions;
  return StateBench(actions).Run();
}
