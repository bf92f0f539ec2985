// Checks that an index in force is applied by every gateway with a lease.
#include "State/GatewayLeaseTable.h"
#include "State/InForceTracker.h"

#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLease = 100ms;
constexpr Duration kStep = 5ms;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kGateways = 4;

enum class LetterKind
{
  ReadIndex,
  ReadAnswer,
  Ping,
  Pong,
};

// A message under way; lost ones are never added.
struct Letter
{
  LetterKind m_kind{};
  TimePoint m_due{};
  TimePoint m_sentAt{};
  std::size_t m_replica = 0;
  std::size_t m_gateway = 0;
  int m_life = 0; // of the replica's process
  std::uint64_t m_index = 0;
  Duration m_granted{};
};

struct ModelReplica
{
  GatewayLeaseTable m_table{ kLease, 10 * kLease };
  std::uint64_t m_applied = 0;
  int m_life = 0;
};

struct Subscriber
{
  std::size_t m_replica = 0;
  std::uint64_t m_applied = 0;
  TimePoint m_leaseEnd{};
};

// Replicas and gateways under random losses, delays, silences, restarts and
// changes of leader.
class InForceModel
{
public:
  explicit InForceModel(std::uint64_t aSeed)
    : m_random(aSeed)
  {
    m_tracker.Start(m_now);
  }

  void Step(bool aFaulty)
  {
    m_now += kStep;
    m_commit += Pick(3);
    if (aFaulty) {
      Disturb();
    }
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      StepReplica(replica);
    }
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      StepGateway(gateway);
    }
    Deliver();
  }

  std::uint64_t InForce() { return m_tracker.InForceIndex(m_now, m_commit); }
  std::uint64_t Commit() const { return m_commit; }

  bool IsSound()
  {
    const std::uint64_t index = InForce();
    for (const Subscriber& gateway : m_gateways) {
      if (gateway.m_leaseEnd > m_now && gateway.m_applied < index) {
        return false;
      }
    }
    return true;
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return m_random() % aCount; }

  void Disturb()
  {
    if (Pick(150) == 0) {
      m_tracker.Start(m_now);
    }
    const std::size_t replica = Pick(kReplicas);
    switch (Pick(150)) {
      case 0: // restart: what was applied last may have to be learned again
        m_replicas[replica].m_table = GatewayLeaseTable(kLease, 10 * kLease);
        m_replicas[replica].m_applied -=
          std::min<std::uint64_t>(m_replicas[replica].m_applied, Pick(10));
        ++m_replicas[replica].m_life;
        break;
      case 1:
        m_isolated = replica;
        break;
      case 2:
        m_isolated = kReplicas;
        break;
      default:
        break;
    }
    m_lossPerCent = 10;
    m_maxDelay = kLease * 2;
  }

  void Send(Letter aLetter)
  {
    if (Pick(100) < m_lossPerCent) {
      return;
    }
    const bool far = Pick(10) == 0;
    aLetter.m_due = m_now + Duration(Pick((far ? m_maxDelay : kStep).count()));
    m_letters.push_back(aLetter);
  }

  void StepReplica(std::size_t aReplica)
  {
    ModelReplica& replica = m_replicas[aReplica];
    if (aReplica != m_isolated) {
      replica.m_applied +=
        Pick(std::max(m_commit, replica.m_applied) - replica.m_applied + 1);
    }
    if (Pick(4) == 0) {
      Letter letter{ LetterKind::ReadIndex };
      letter.m_sentAt = m_now;
      letter.m_replica = aReplica;
      letter.m_life = replica.m_life;
      letter.m_index = replica.m_table.TakeReport(m_now, replica.m_applied);
      Send(letter);
    }
  }

  void StepGateway(std::size_t aGateway)
  {
    Subscriber& gateway = m_gateways[aGateway];
    if (Pick(60) == 0) {
      gateway.m_replica = Pick(kReplicas);
    }
    const std::uint64_t fed = m_replicas[gateway.m_replica].m_applied;
    if (fed > gateway.m_applied && Pick(3) != 0) {
      gateway.m_applied += Pick(fed - gateway.m_applied + 1);
    }
    if (Pick(4) == 0) {
      Letter letter{ LetterKind::Ping };
      letter.m_sentAt = m_now;
      letter.m_gateway = aGateway;
      letter.m_replica = gateway.m_replica;
      letter.m_index = gateway.m_applied;
      Send(letter);
    }
  }

  void Deliver()
  {
    std::vector<Letter> due;
    std::erase_if(m_letters, [&](const Letter& aLetter) {
      if (aLetter.m_due <= m_now) {
        due.push_back(aLetter);
      }
      return aLetter.m_due <= m_now;
    });
    for (const Letter& letter : due) {
      Take(letter);
    }
  }

  void Take(Letter aLetter)
  {
    ModelReplica& replica = m_replicas[aLetter.m_replica];
    switch (aLetter.m_kind) {
      case LetterKind::ReadIndex:
        if (aLetter.m_replica == m_isolated) {
          return;
        }
        m_tracker.Answer(m_now, aLetter.m_replica, aLetter.m_index);
        aLetter.m_kind = LetterKind::ReadAnswer;
        aLetter.m_index = m_commit;
        Send(aLetter);
        break;
      case LetterKind::ReadAnswer:
        if (aLetter.m_life == replica.m_life) {
          replica.m_table.ConfirmRead(m_now, aLetter.m_sentAt, aLetter.m_index);
        }
        break;
      case LetterKind::Ping:
        TakePing(aLetter, replica);
        break;
      case LetterKind::Pong: {
        Subscriber& gateway = m_gateways[aLetter.m_gateway];
        gateway.m_leaseEnd =
          std::max(gateway.m_leaseEnd, aLetter.m_sentAt + aLetter.m_granted);
        break;
      }
    }
  }

  void TakePing(Letter aLetter, ModelReplica& aReplica)
  {
    feed::HelloT hello;
    hello.vm = std::to_string(aLetter.m_gateway);
    hello.epoch = 1;
    aReplica.m_table.Greet(m_now, hello);
    feed::PingT ping;
    ping.applied_index = aLetter.m_index;
    if (const auto granted =
          aReplica.m_table.Grant(m_now, hello.vm, hello.epoch, ping)) {
      aLetter.m_kind = LetterKind::Pong;
      aLetter.m_granted = *granted;
      Send(aLetter);
    }
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ 1h };
  std::uint64_t m_commit = 1;
  InForceTracker m_tracker{ kLease };
  std::array<ModelReplica, kReplicas> m_replicas;
  std::array<Subscriber, kGateways> m_gateways;
  std::vector<Letter> m_letters;
  std::size_t m_isolated = kReplicas; // that replica, or none
  std::uint64_t m_lossPerCent = 0;
  Duration m_maxDelay = kStep;
};

} // namespace

TEST_GROUP(InForce){};

TEST(InForce, EveryLeasedGatewayHasAppliedWhatIsInForce)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    InForceModel model(seed);
    bool advanced = false;
    for (int step = 0; step < 1500; ++step) {
      model.Step(true);
      CHECK_TRUE_TEXT(model.IsSound(), std::to_string(seed).c_str());
      advanced = advanced || model.InForce() > 0;
    }
    CHECK_TRUE(advanced);
  }
}

TEST(InForce, WithoutFaultsAnIndexComesIntoForce)
{
  InForceModel model(1);
  std::uint64_t wanted = 0;
  for (int step = 0; step < 400; ++step) {
    model.Step(false);
    if (step == 200) {
      wanted = model.Commit();
    }
  }
  CHECK(model.InForce() >= wanted);
}

TEST(InForce, ASilentReplicaHoldsAnIndexUpForOneLease)
{
  const TimePoint start{ 1h };
  InForceTracker tracker(kLease);
  tracker.Start(start);
  CHECK_EQUAL(0, tracker.InForceIndex(start + kLease, 9));
  tracker.Answer(start + 2 * kLease, 1, 9);
  tracker.Answer(start + 2 * kLease, 2, 4);
  CHECK_EQUAL(4, tracker.InForceIndex(start + 3 * kLease, 9));
  CHECK_EQUAL(9, tracker.InForceIndex(start + 4 * kLease, 9));
  // Back with an older report: what is in force stays so.
  tracker.Answer(start + 4 * kLease, 2, 5);
  CHECK_EQUAL(9, tracker.InForceIndex(start + 4 * kLease, 12));
}
