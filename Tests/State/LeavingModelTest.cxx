// Plays all short orders of reports, leaves, drops, expiring leases, snapshots
// and changes of leader on the registry: none lists an endpoint as ready after
// it has left, and a new start is listed at once.
#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "State/Commands.h"
#include "State/EndpointLeaseTable.h"
#include "State/NamedEntities.h"
#include "State/ReplicatedState.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using namespace std::chrono_literals;
using state::EndpointPhase;
using state::ResultCode;

namespace {

constexpr Duration kLease = 10s;
constexpr std::uint64_t kStarts = 2;

state::EndpointT
MakeCounted(int aEndpoint, std::uint64_t aIncarnation, std::uint64_t aReport)
{
  state::EndpointT endpoint;
  endpoint.id = "e" + std::to_string(aEndpoint);
  endpoint.incarnation = aIncarnation;
  endpoint.report = aReport;
  endpoint.kind = state::EndpointKind::ManagedEngine;
  endpoint.service = "s1";
  endpoint.address = "10.0.0." + std::to_string(aEndpoint + 1);
  endpoint.port = 8080;
  endpoint.zone = "z";
  endpoint.slots = 8;
  return endpoint;
}

enum class Step
{
  Report,
  Leave,
  // Applies a drop that was proposed while this start was ready.
  Drop,
  // Lets a lease pass without a renewal.
  Expire,
  // Another replica leads, from a snapshot.
  Restart,
};

struct Move
{
  Step m_step;
  int m_endpoint = 0;
  std::uint64_t m_incarnation = 0;
};

// The control group as the endpoints see it, and what it has promised.
class Group
{
public:
  Group() { m_leases.Start(m_now, m_state->Config()); }

  // Returns false if a property does not hold after the move.
  bool Play(const Move& aMove)
  {
    switch (aMove.m_step) {
      case Step::Report:
        return Report(aMove.m_endpoint, aMove.m_incarnation) && HoldsPromises();
      case Step::Leave:
        Leave(aMove.m_endpoint, aMove.m_incarnation);
        break;
      case Step::Drop:
        Apply(MakeDrop(IdOf(aMove.m_endpoint), aMove.m_incarnation));
        break;
      case Step::Expire:
        Pass(kLease + 1s);
        break;
      case Step::Restart:
        if (!Restart()) {
          return false;
        }
        break;
    }
    return HoldsPromises();
  }
  void Pass(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 1s) {
      m_now += 1s;
      state::DropEndpointsT expired = m_leases.TakeExpired(m_now);
      if (!expired.endpoints.empty()) {
        Apply(MakeCommand(std::move(expired)));
      }
    }
  }
  const state::EndpointT* Find(int aEndpoint) const
  {
    return FindEntity(m_state->Config().endpoints, IdOf(aEndpoint));
  }
  ResultCode Apply(const state::CommandT& aCommand)
  {
    const ResultCode code = m_state->Apply(++m_index, 1, aCommand).code;
    m_leases.Follow(m_now, m_state->Config());
    return code;
  }
  std::size_t Count() const { return m_state->Config().endpoints.size(); }

private:
  static std::string IdOf(int aEndpoint)
  {
    return "e" + std::to_string(aEndpoint);
  }
  bool Report(int aEndpoint, std::uint64_t aIncarnation)
  {
    std::uint64_t& seen = m_seen[aEndpoint];
    const bool isNewStart = aIncarnation > seen;
    seen = std::max(seen, aIncarnation);
    const ResultCode code =
      Apply(MakeAnnounce(MakeCounted(aEndpoint, aIncarnation, 1)));
    if (code == ResultCode::Ok && aIncarnation > m_left[aEndpoint]) {
      m_left[aEndpoint] = 0;
    }
    const state::EndpointT* listed = Find(aEndpoint);
    return !isNewStart ||
           (listed != nullptr && listed->incarnation == aIncarnation &&
            listed->phase == EndpointPhase::Ready);
  }
  // As the control API does, which announces an endpoint that is not listed.
  void Leave(int aEndpoint, std::uint64_t aIncarnation)
  {
    m_seen[aEndpoint] = std::max(m_seen[aEndpoint], aIncarnation);
    if (Find(aEndpoint) == nullptr) {
      Apply(MakeAnnounce(MakeCounted(aEndpoint, aIncarnation, 9)));
    }
    if (Apply(MakeLeave(IdOf(aEndpoint), aIncarnation)) == ResultCode::Ok) {
      m_left[aEndpoint] = aIncarnation;
    }
  }
  bool Restart()
  {
    auto next = std::make_unique<ReplicatedState>();
    if (!next->Restore(m_state->TakeImage())) {
      return false;
    }
    m_state = std::move(next);
    m_leases.Start(m_now, m_state->Config());
    return true;
  }
  bool HoldsPromises() const
  {
    for (const auto& [endpoint, left] : m_left) {
      const state::EndpointT* listed = Find(endpoint);
      if (listed != nullptr && listed->phase == EndpointPhase::Ready &&
          listed->incarnation <= left) {
        return false;
      }
    }
    return true;
  }

  std::unique_ptr<ReplicatedState> m_state =
    std::make_unique<ReplicatedState>();
  EndpointLeaseTable m_leases{ kLease };
  TimePoint m_now{ 1h };
  std::uint64_t m_index = 0;
  // The start whose leave was acknowledged, until a later one is listed.
  std::map<int, std::uint64_t> m_left;
  std::map<int, std::uint64_t> m_seen;
};

// Plays every sequence of aLength moves of that many endpoints. Returns the
// number of sequences that break a property.
std::size_t
CountBroken(int aEndpoints, std::size_t aLength)
{
  std::vector<Move> moves{ { Step::Expire }, { Step::Restart } };
  for (int endpoint = 0; endpoint < aEndpoints; ++endpoint) {
    for (std::uint64_t start = 1; start <= kStarts; ++start) {
      for (const Step step : { Step::Report, Step::Leave, Step::Drop }) {
        moves.push_back({ step, endpoint, start });
      }
    }
  }
  std::size_t broken = 0;
  std::vector<std::size_t> sequence(aLength, 0);
  for (;;) {
    Group group;
    for (const std::size_t move : sequence) {
      if (!group.Play(moves[move])) {
        ++broken;
        break;
      }
    }
    std::size_t place = 0;
    while (place < aLength && ++sequence[place] == moves.size()) {
      sequence[place++] = 0;
    }
    if (place == aLength) {
      return broken;
    }
  }
}

} // namespace

TEST_GROUP(LeavingModel){};

TEST(LeavingModel, OneEndpoint)
{
  CHECK_EQUAL(0U, CountBroken(1, 6));
}

TEST(LeavingModel, TwoEndpoints)
{
  CHECK_EQUAL(0U, CountBroken(2, 4));
}

TEST(LeavingModel, ThreeEndpoints)
{
  CHECK_EQUAL(0U, CountBroken(3, 3));
}

TEST(LeavingModel, ALeaveIsForgottenOnceNothingBeforeItCanArrive)
{
  Group group;
  CHECK(group.Play({ Step::Report, 0, 1 }));
  CHECK(group.Play({ Step::Leave, 0, 1 }));
  group.Pass(EndpointLeaseTable::kLeavingMemory - 1s);
  CHECK(group.Find(0) != nullptr);
  group.Pass(2s);
  CHECK(group.Find(0) == nullptr);
}

TEST(LeavingModel, TheNumberOfRememberedLeavesIsBounded)
{
  constexpr int kCount = static_cast<int>(EndpointLeaseTable::kMaxLeaving) + 2;
  EndpointLeaseTable leases{ kLease };
  state::ConfigImageT image;
  for (int i = 0; i < kCount; ++i) {
    auto endpoint = std::make_unique<state::EndpointT>(MakeCounted(i, 1, 1));
    endpoint->phase = EndpointPhase::Leaving;
    image.endpoints.push_back(std::move(endpoint));
    if (i == 0) {
      leases.Start(TimePoint(1h), image);
    }
  }
  leases.Follow(TimePoint(1h + 1s), image);
  const auto dropped = leases.TakeExpired(TimePoint(1h + 1s)).endpoints;
  CHECK_EQUAL(2U, dropped.size());
  CHECK_EQUAL(
    1, std::count_if(dropped.begin(), dropped.end(), [](const auto& aDropped) {
      return aDropped->id == "e0";
    }));
}

// The later start at the address ends, and then a report of the one that left
// arrives.
TEST(LeavingModel, AnotherEndpointAtItsAddressDoesNotUndoALeave)
{
  Group group;
  CHECK(group.Play({ Step::Report, 0, 1 }));
  CHECK(group.Play({ Step::Leave, 0, 1 }));
  state::EndpointT later = MakeCounted(0, 2, 1);
  later.id = "later";
  CHECK(group.Apply(MakeAnnounce(later)) == ResultCode::Ok);
  group.Pass(kLease + 1s);
  CHECK(group.Play({ Step::Report, 0, 1 }));
  CHECK(group.Find(0)->phase == EndpointPhase::Leaving);
}
