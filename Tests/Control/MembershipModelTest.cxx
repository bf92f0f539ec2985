// Checks the membership of a group of control VMs under all small schedules of
// a pattern of faults and under random walks. Two properties: no acknowledged
// change is lost and two majorities always meet; and 10 s after the faults are
// over the group has its target of voters again.
//
// PARSLEYCOVE_MODEL_WALKS sets the number of random walks,
// PARSLEYCOVE_MODEL_SEED the seed of the first one, and
// PARSLEYCOVE_MODEL_REPLACEMENTS how many replacements are added to each order.
#include "Control/MembershipModel.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kTarget = 5;
constexpr std::uint64_t kDefaultWalks = 100;
constexpr std::size_t kWalkActions = 25;
// As many VMs are impaired at the same time as the group tolerates.
constexpr std::size_t kMaxImpaired = 2;
// A VM that is back counts as lost for this long.
constexpr int kCatchUpMs = 4000;
constexpr std::size_t kDisksInTurn = 5;

// One VM is cut off from all others, a second one is replaced a second later,
// and a third one freezes meanwhile. VMs are counted from the leader on.
struct CutAndReplace
{
  std::size_t m_cut = 1;
  std::size_t m_replaced = 2;
  std::size_t m_frozen = 0;
  int m_freezeAtMs = 0; // after the cut begins
  // Of the calls of the VM that is cut off.
  std::size_t m_lostAnswers = 0;
  bool m_fromLeaderOnly = false; // the cut leaves the links to the others
};

std::string
Describe(const CutAndReplace& aSchedule)
{
  return "cut " + std::to_string(aSchedule.m_cut) + ", replaced " +
         std::to_string(aSchedule.m_replaced) + ", frozen " +
         std::to_string(aSchedule.m_frozen) + " at " +
         std::to_string(aSchedule.m_freezeAtMs) + " ms, lost answers " +
         std::to_string(aSchedule.m_lostAnswers) +
         (aSchedule.m_fromLeaderOnly ? ", cut from the leader only" : "");
}

void
Play(MembershipModel& aModel, const CutAndReplace& aSchedule)
{
  constexpr int kEndMs = 8000;
  constexpr int kStepMs = 250;
  const std::size_t leader = aModel.LeaderVm();
  const auto vmOf = [&](std::size_t aCount) {
    return (leader + aCount) % kTarget;
  };
  for (int ms = 0; ms < kEndMs; ms += kStepMs) {
    if (ms == 0) {
      if (aSchedule.m_fromLeaderOnly) {
        aModel.CutLink(leader, vmOf(aSchedule.m_cut), seconds(4));
      } else {
        aModel.Cut(vmOf(aSchedule.m_cut), seconds(4));
      }
      aModel.LoseAnswers(vmOf(aSchedule.m_cut), aSchedule.m_lostAnswers);
    }
    if (ms == 1000) {
      aModel.Replace(vmOf(aSchedule.m_replaced));
    }
    if (ms == aSchedule.m_freezeAtMs &&
        !aModel.IsGone(vmOf(aSchedule.m_frozen))) {
      aModel.Freeze(vmOf(aSchedule.m_frozen), milliseconds(1200));
    }
    aModel.Run(milliseconds(kStepMs));
  }
}

// Returns the schedules of one VM that is cut off and one that is replaced.
std::vector<CutAndReplace>
ListSchedules(std::size_t aCut, std::size_t aReplaced)
{
  std::vector<CutAndReplace> schedules;
  for (std::size_t frozen = 0; frozen < kTarget; ++frozen) {
    for (const int freezeAtMs : { 0, 2000, 4000 }) {
      schedules.push_back({ aCut, aReplaced, frozen, freezeAtMs, 0, false });
    }
    schedules.push_back({ aCut, aReplaced, frozen, 2000, 2, false });
    if (aCut != 0) {
      schedules.push_back({ aCut, aReplaced, frozen, 2000, 0, true });
    }
  }
  return schedules;
}

// Disks are lost one after the other, each as soon as fewer than kMaxImpaired
// VMs count as lost. The leader of the moment is among the VMs that lose them,
// or a follower in its place. Each VM is back at its address, or another VM
// replaces it.
struct DisksInTurn
{
  bool m_replaced = false;
  int m_gapMs = 0; // between the first two losses, at least
  int m_downMs = 0;
  unsigned m_leaders = 0; // bit i: the loss with this number is the leader's
  std::uint64_t m_seed = 1;
};

std::string
Describe(const DisksInTurn& aSchedule)
{
  std::string victims;
  for (std::size_t i = 0; i < kDisksInTurn; ++i) {
    victims += (aSchedule.m_leaders >> i & 1U) != 0 ? " leader" : " follower";
  }
  return std::string(aSchedule.m_replaced ? "replaced" : "back") + ", seed " +
         std::to_string(aSchedule.m_seed) + ", gap " +
         std::to_string(aSchedule.m_gapMs) + " ms, down for " +
         std::to_string(aSchedule.m_downMs) + " ms:" + victims;
}

// When each VM stops to count as lost, in ms.
using LostUntil = std::vector<int>;

// Returns the VM that loses its disk next: among those that do not count as
// lost the leader, or the one that kept its disk for longest.
std::size_t
FindVictim(const MembershipModel& aModel,
           const LostUntil& aLostUntil,
           int aNowMs,
           bool aLeader)
{
  const std::size_t leader = aModel.LeaderVm();
  const std::size_t none = aModel.CountVms();
  std::size_t victim = none;
  for (std::size_t vm = 0; vm < none; ++vm) {
    if (aModel.IsGone(vm) || aLostUntil[vm] > aNowMs) {
      continue;
    }
    if (aLeader && vm == leader) {
      return vm;
    }
    if (vm != leader &&
        (victim == none || aLostUntil[vm] < aLostUntil[victim])) {
      victim = vm;
    }
  }
  return victim;
}

void
Play(MembershipModel& aModel, const DisksInTurn& aSchedule)
{
  constexpr int kStepMs = 50;
  LostUntil lostUntil(kTarget, 0);
  std::size_t played = 0;
  for (int ms = 0; played < kDisksInTurn; ms += kStepMs) {
    const auto lost = std::count_if(lostUntil.begin(),
                                    lostUntil.end(),
                                    [&](int aUntil) { return aUntil > ms; });
    const bool isDue = played != 1 || ms >= aSchedule.m_gapMs;
    if (isDue && static_cast<std::size_t>(lost) < kMaxImpaired) {
      const std::size_t victim = FindVictim(
        aModel, lostUntil, ms, (aSchedule.m_leaders >> played & 1U) != 0);
      if (aSchedule.m_replaced) {
        lostUntil[victim] = 0;
        aModel.Replace(victim);
        lostUntil.push_back(ms + kCatchUpMs);
      } else {
        aModel.LoseDisk(victim, milliseconds(aSchedule.m_downMs));
        lostUntil[victim] = ms + aSchedule.m_downMs + kCatchUpMs;
      }
      ++played;
    } else {
      aModel.Run(milliseconds(kStepMs));
    }
  }
}

std::vector<DisksInTurn>
ListDisksInTurn()
{
  std::vector<DisksInTurn> schedules;
  for (int gapMs = 0; gapMs <= kCatchUpMs; gapMs += 500) {
    for (unsigned leaders = 0; leaders < 1U << kDisksInTurn; ++leaders) {
      for (const int downMs : { 500, 1000, 2000 }) {
        schedules.push_back({ false, gapMs, downMs, leaders, 1 });
      }
      schedules.push_back({ true, gapMs, 0, leaders, 1 });
    }
  }
  return schedules;
}

// One VM loses its disk and all others their power, and two others lose their
// disks once the group is stable again. VMs are counted from the leader on.
struct DiskAndPower
{
  std::size_t m_victim = 0;
  int m_downMs = 0;
  int m_powerMs = 0; // until the others are back
  std::uint64_t m_seed = 1;
};

std::string
Describe(const DiskAndPower& aSchedule)
{
  return "seed " + std::to_string(aSchedule.m_seed) + ", victim " +
         std::to_string(aSchedule.m_victim) + " down for " +
         std::to_string(aSchedule.m_downMs) + " ms, the others for " +
         std::to_string(aSchedule.m_powerMs) + " ms";
}

void
Play(MembershipModel& aModel, const DiskAndPower& aSchedule)
{
  const std::size_t victim = (aModel.LeaderVm() + aSchedule.m_victim) % kTarget;
  for (std::size_t vm = 0; vm < kTarget; ++vm) {
    if (vm == victim) {
      aModel.LoseDisk(vm, milliseconds(aSchedule.m_downMs));
    } else {
      aModel.Stop(vm, milliseconds(aSchedule.m_powerMs));
    }
  }
  aModel.Run(milliseconds(aSchedule.m_powerMs + 2 * kCatchUpMs));
  for (std::size_t i = 1; i <= kMaxImpaired; ++i) {
    aModel.LoseDisk((victim + i) % kTarget, milliseconds(aSchedule.m_downMs));
  }
}

std::vector<DiskAndPower>
ListDiskAndPower()
{
  std::vector<DiskAndPower> schedules;
  for (std::size_t victim = 0; victim < kTarget; ++victim) {
    for (const int downMs : { 200, 500, 1000 }) {
      for (const int powerMs : { 1000, 1500, 2000 }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
          schedules.push_back({ victim, downMs, powerMs, seed });
        }
      }
    }
  }
  return schedules;
}

std::uint64_t
ReadNumber(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// VMs are replaced one after the other, each by one in any zone, and as many
// disks as the group bears are lost at once after the last one.
struct Replacement
{
  std::size_t m_victim = 0; // counted from the leader on
  const char* m_zone = "a";
};
struct Replacements
{
  std::size_t m_target = kTarget;
  ModelZones m_zones;
  std::vector<Replacement> m_steps;
};

std::string
Describe(const Replacements& aSchedule)
{
  std::string text = std::to_string(aSchedule.m_target) + " VMs in";
  for (const std::string& zone : aSchedule.m_zones.m_zones) {
    text += " " + zone;
  }
  text += aSchedule.m_zones.m_areKnown ? "" : " (not known)";
  for (const Replacement& step : aSchedule.m_steps) {
    text += ", " + std::to_string(step.m_victim) + " replaced in " +
            std::string(step.m_zone);
  }
  return text;
}

std::vector<std::size_t>
ListRunning(const MembershipModel& aModel)
{
  std::vector<std::size_t> running;
  for (std::size_t vm = 0; vm < aModel.CountVms(); ++vm) {
    if (!aModel.IsGone(vm)) {
      running.push_back(vm);
    }
  }
  const auto leader =
    std::find(running.begin(), running.end(), aModel.LeaderVm());
  std::rotate(running.begin(),
              leader == running.end() ? running.begin() : leader,
              running.end());
  return running;
}

// Returns whether the group was whole again after each replacement.
bool
Play(MembershipModel& aModel, const Replacements& aSchedule)
{
  bool isWhole = true;
  for (const Replacement& step : aSchedule.m_steps) {
    aModel.Replace(ListRunning(aModel)[step.m_victim], step.m_zone);
    aModel.Run(milliseconds(kCatchUpMs));
    isWhole = isWhole && aModel.HasReturned();
  }
  const auto running = ListRunning(aModel);
  for (std::size_t i = 0; i < (aSchedule.m_target - 1) / 2; ++i) {
    aModel.LoseDisk(running[i], milliseconds(500));
  }
  return isWhole;
}

// Appends all schedules with one more step up to aDepth steps.
void
AppendSchedules(const Replacements& aFirst,
                std::size_t aDepth,
                std::vector<Replacements>& aSchedules)
{
  if (aFirst.m_steps.size() == aDepth) {
    aSchedules.push_back(aFirst);
    return;
  }
  for (std::size_t victim = 0; victim < aFirst.m_target; ++victim) {
    for (const char* const zone : { "a", "b", "c" }) {
      Replacements next = aFirst;
      next.m_steps.push_back({ victim, zone });
      AppendSchedules(next, aDepth, aSchedules);
    }
  }
}

// A group is not formed of founders that know of a zone with a majority.
bool
CanForm(std::size_t aTarget, const ModelZones& aZones)
{
  const std::vector<std::string>& zones = aZones.m_zones;
  std::map<std::string, std::size_t> founders;
  std::size_t most = 0;
  for (std::size_t i = 0; i < aTarget; ++i) {
    most = std::max(most, ++founders[zones[i % zones.size()]]);
  }
  return !aZones.m_areKnown || most <= aTarget / 2;
}

// All orders of replacements in groups of each size and spread over the zones.
std::vector<Replacements>
ListReplacements()
{
  using Names = std::vector<std::string>;
  const std::size_t more = ReadNumber("PARSLEYCOVE_MODEL_REPLACEMENTS", 0);
  std::vector<Replacements> schedules;
  for (const auto& [target, depth] :
       { std::pair{ 3U, 2U }, std::pair{ 5U, 2U }, std::pair{ 7U, 1U } }) {
    for (const bool areKnown : { true, false }) {
      for (const Names& zones : { Names{ "a", "b", "c" },
                                  Names{ "a", "a", "b", "b", "c" },
                                  Names{ "a" } }) {
        const Replacements first{ target, { zones, areKnown }, {} };
        if (CanForm(first.m_target, first.m_zones)) {
          AppendSchedules(first, depth + more, schedules);
        }
      }
    }
  }
  return schedules;
}

std::size_t
CountImpaired(const MembershipModel& aModel)
{
  std::size_t count = 0;
  for (std::size_t vm = 0; vm < aModel.CountVms(); ++vm) {
    count += !aModel.IsGone(vm) && aModel.IsImpaired(vm) ? 1 : 0;
  }
  return count;
}

// Puts one random fault on one random VM.
std::string
HarmOne(MembershipModel& aModel, std::mt19937_64& aRandom)
{
  const auto draw = [&](std::uint64_t aBelow) { return aRandom() % aBelow; };
  const std::size_t vm = draw(aModel.CountVms());
  const std::size_t other = draw(aModel.CountVms());
  const Duration length = milliseconds(200 + draw(5000));
  const auto name = [](const char* aFault, std::size_t aVm) {
    return std::string(aFault) + " " + std::to_string(aVm) + "; ";
  };
  if (aModel.IsGone(vm) || CountImpaired(aModel) >= kMaxImpaired) {
    return {};
  }
  switch (draw(7)) {
    case 0:
      aModel.Cut(vm, length);
      return name("cut", vm);
    case 1:
      if (vm != other && !aModel.IsGone(other)) {
        aModel.CutLink(vm, other, length);
        return name("cut link to", other) + name("of", vm);
      }
      return {};
    case 2:
      aModel.Freeze(vm, length);
      return name("freeze", vm);
    case 3:
      aModel.Stop(vm, length);
      return name("stop", vm);
    case 4:
      aModel.LoseAnswers(vm, 1 + draw(3));
      return name("lose answers of", vm);
    case 5:
      if (aModel.CanLoseDisk(vm)) {
        aModel.LoseDisk(vm, length);
        return name("lose disk of", vm);
      }
      return {};
    default:
      if (aModel.CanLoseDisk(vm)) {
        aModel.Replace(vm);
        return name("replace", vm);
      }
      return {};
  }
}

// Returns the faults that were played.
std::string
Walk(MembershipModel& aModel, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::string played;
  for (std::size_t i = 0; i < kWalkActions; ++i) {
    played += HarmOne(aModel, random);
    aModel.Run(milliseconds(random() % 1500));
  }
  return played;
}

// What came of one play.
struct Outcome
{
  std::string m_play;
  std::string m_end; // the members when the time to return was over
  std::string m_violation;
  bool m_kept = false;
  bool m_returned = false;
};

Outcome
Judge(MembershipModel& aModel, std::string aPlay)
{
  aModel.HealAndWait();
  Outcome outcome;
  outcome.m_play = std::move(aPlay);
  outcome.m_end = aModel.Describe();
  outcome.m_returned = aModel.HasReturned();
  outcome.m_kept = aModel.KeepsWhatWasAcknowledged();
  outcome.m_violation = aModel.FindViolation();
  return outcome;
}

// Played once for both properties.
const std::vector<Outcome>&
PlaySchedules()
{
  static const std::vector<Outcome> kOutcomes = [] {
    std::vector<Outcome> outcomes;
    for (std::size_t vms = 0; vms < kTarget * kTarget; ++vms) {
      if (vms / kTarget == vms % kTarget) {
        continue;
      }
      for (const auto& schedule : ListSchedules(vms / kTarget, vms % kTarget)) {
        MembershipModel model(kTarget, 1);
        Play(model, schedule);
        outcomes.push_back(Judge(model, Describe(schedule)));
      }
    }
    return outcomes;
  }();
  return kOutcomes;
}

const std::vector<Outcome>&
PlayWalks()
{
  static const std::vector<Outcome> kOutcomes = [] {
    const std::uint64_t first = ReadNumber("PARSLEYCOVE_MODEL_SEED", 1);
    const std::uint64_t walks =
      ReadNumber("PARSLEYCOVE_MODEL_WALKS", kDefaultWalks);
    std::vector<Outcome> outcomes;
    for (std::uint64_t seed = first; seed < first + walks; ++seed) {
      MembershipModel model(kTarget, seed);
      const std::string played = Walk(model, seed);
      outcomes.push_back(
        Judge(model, "seed " + std::to_string(seed) + ": " + played));
    }
    return outcomes;
  }();
  return kOutcomes;
}

// The times of a control VM's replica.
ReplicaOptions
ControlVmOptions()
{
  ReplicaOptions options;
  options.m_heartbeatInterval = milliseconds(60);
  options.m_electionTimeout = milliseconds(350);
  options.m_leaderLease = milliseconds(250);
  return options;
}

// Plays schedules with the times of control VMs.
template<typename Schedule>
std::vector<Outcome>
PlayAll(const std::vector<Schedule>& aSchedules)
{
  std::vector<Outcome> outcomes;
  for (const Schedule& schedule : aSchedules) {
    MembershipModel model(kTarget, schedule.m_seed, ControlVmOptions());
    Play(model, schedule);
    outcomes.push_back(Judge(model, Describe(schedule)));
  }
  return outcomes;
}

const std::vector<Outcome>&
PlayDisksInTurn()
{
  static const auto kOutcomes = PlayAll(ListDisksInTurn());
  return kOutcomes;
}

const std::vector<Outcome>&
PlayDiskAndPower()
{
  static const auto kOutcomes = PlayAll(ListDiskAndPower());
  return kOutcomes;
}

const std::vector<Outcome>&
PlayReplacements()
{
  static const std::vector<Outcome> kOutcomes = [] {
    std::vector<Outcome> outcomes;
    for (const Replacements& schedule : ListReplacements()) {
      MembershipModel model(
        schedule.m_target, 1, ControlVmOptions(), schedule.m_zones);
      const bool isWhole = Play(model, schedule);
      outcomes.push_back(Judge(model, Describe(schedule)));
      outcomes.back().m_returned = outcomes.back().m_returned && isWhole;
    }
    return outcomes;
  }();
  return kOutcomes;
}

// Fails if one of the plays does not hold, and tells how many and the first.
void
CheckAll(const std::vector<Outcome>& aOutcomes, bool Outcome::*aHolds)
{
  std::size_t failed = 0;
  std::string first;
  for (const Outcome& outcome : aOutcomes) {
    if (!(outcome.*aHolds) && failed++ == 0) {
      first =
        outcome.m_play + "\n" + outcome.m_end + "\n" + outcome.m_violation;
    }
  }
  const std::string text = std::to_string(failed) + " of " +
                           std::to_string(aOutcomes.size()) +
                           " plays fail, the first: " + first;
  CHECK_TEXT(failed == 0, text.c_str());
}

} // namespace

TEST_GROUP(MembershipSafety){};

TEST_GROUP(MembershipReturn){};

TEST(MembershipSafety, CutAndReplace)
{
  CheckAll(PlaySchedules(), &Outcome::m_kept);
}

TEST(MembershipSafety, RandomWalk)
{
  CheckAll(PlayWalks(), &Outcome::m_kept);
}

TEST(MembershipReturn, CutAndReplace)
{
  CheckAll(PlaySchedules(), &Outcome::m_returned);
}

TEST(MembershipReturn, RandomWalk)
{
  CheckAll(PlayWalks(), &Outcome::m_returned);
}

TEST(MembershipSafety, DisksInTurn)
{
  CheckAll(PlayDisksInTurn(), &Outcome::m_kept);
}

TEST(MembershipReturn, DisksInTurn)
{
  CheckAll(PlayDisksInTurn(), &Outcome::m_returned);
}

TEST(MembershipReturn, DisksInTurnInOneZone)
{
  for (const std::size_t target : { 3, 5 }) {
    MembershipModel model(
      target, 1, ControlVmOptions(), ModelZones{ { "a" }, false });
    for (std::size_t vm = 0; vm < target; ++vm) {
      model.LoseDisk(vm, milliseconds(500));
      model.Run(milliseconds(500 + kCatchUpMs));
      CHECK_TEXT(model.HasReturned(), model.Describe().c_str());
    }
  }
}

// Guards against a lost voter that keeps its vote for good, since its successor
// came in another zone.
TEST(MembershipReturn, ReplacementsInAnyZone)
{
  CheckAll(PlayReplacements(), &Outcome::m_returned);
}

TEST(MembershipSafety, ReplacementsInAnyZone)
{
  CheckAll(PlayReplacements(), &Outcome::m_kept);
}

// Guards against a zone that keeps a majority though VMs run elsewhere.
TEST(MembershipReturn, AVmElsewhereTakesAVoteFromTheZoneWithAMajority)
{
  for (const std::size_t target : { 3, 5, 7 }) {
    MembershipModel model(target, 1, ControlVmOptions());
    // A founder that is not in the zone "a" is the last one or the second one.
    for (std::size_t vm = 1; !model.IsHeldByOneZone(); ++vm) {
      CHECK(vm < target);
      model.Replace(vm, "a");
      model.Run(milliseconds(kCatchUpMs));
      CHECK_TEXT(model.HasReturned(), model.Describe().c_str());
    }
    for (const char* const zone : { "b", "c", "b", "c" }) {
      model.Join(zone);
    }
    model.Run(milliseconds(2 * kCatchUpMs));
    CHECK_TEXT(!model.IsHeldByOneZone(), model.Describe().c_str());
    CHECK_TEXT(model.HasReturned(), model.Describe().c_str());
  }
}

TEST(MembershipSafety, DiskAndPower)
{
  CheckAll(PlayDiskAndPower(), &Outcome::m_kept);
}

TEST(MembershipReturn, DiskAndPower)
{
  CheckAll(PlayDiskAndPower(), &Outcome::m_returned);
}
