// Decides which connection is given up when a listener holds as many as it may.
#include "Forwarding/ConnectionPlaces.h"

#include <algorithm>

#include <sys/resource.h>

namespace parsleycove {

namespace {

// Connections looked at for each that is given up, so that many which have just
// sent something cost a bounded time.
constexpr int kMostLooks = 8;

} // namespace

ConnectionPlaces::Place::Place(std::shared_ptr<ConnectionPlaces> aPlaces)
  : m_places(std::move(aPlaces))
{
  ++m_places->m_held;
}

void
ConnectionPlaces::Place::SetReading(TimePoint aNow)
{
  Move(Stage::Reading, aNow);
}

void
ConnectionPlaces::Place::AddReceived(std::size_t aBytes, TimePoint aNow)
{
  m_bytesSince += aBytes;
  const bool isProgress =
    m_stage == Stage::Reading && m_bytesSince >= kProgressBytes;
  if (isProgress || m_stage == Stage::Idle) {
    Move(Stage::Reading, aNow);
  }
}

void
ConnectionPlaces::Place::SetIdle(TimePoint aNow)
{
  Move(Stage::Idle, aNow);
}

bool
ConnectionPlaces::Place::SetServed()
{
  Move(Stage::Served, TimePoint{});
  return m_stage == Stage::Served;
}

void
ConnectionPlaces::Place::Leave()
{
  if (m_stage != Stage::Left) {
    Move(Stage::Left, TimePoint{});
    --m_places->m_held;
  }
}

void
ConnectionPlaces::Place::Move(Stage aStage, TimePoint aNow)
{
  if (m_stage == Stage::Left) {
    return;
  }
  if (m_stage == Stage::Reading) {
    m_places->m_reading.erase(m_places->m_reading.iterator_to(*this));
  } else if (m_stage == Stage::Idle) {
    m_places->m_idle.erase(m_places->m_idle.iterator_to(*this));
  }
  m_stage = aStage;
  m_since = aNow;
  m_bytesSince = 0;
  if (m_stage == Stage::Reading) {
    m_places->m_reading.push_back(*this);
  } else if (m_stage == Stage::Idle) {
    m_places->m_idle.push_back(*this);
  }
}

ConnectionPlaces::ConnectionPlaces(std::size_t aLimit, LossObserver aOnLoss)
  : m_limit(std::max<std::size_t>(aLimit, 1))
  , m_onLoss(std::move(aOnLoss))
{
}

std::unique_ptr<ConnectionPlaces::Place>
ConnectionPlaces::Take(TimePoint aNow)
{
  if (m_held >= m_limit && !GiveUpOne(aNow)) {
    CountTurnedAway(aNow);
    return nullptr;
  }
  m_shortage.CountTaken(aNow, IsBusy());
  return std::make_unique<Place>(shared_from_this());
}

bool
ConnectionPlaces::GiveUpOne(TimePoint aNow)
{
  for (int looks = 0; looks < kMostLooks; ++looks) {
    const auto [place, loss] = Choose(aNow);
    if (place == nullptr) {
      return false;
    }
    // After a pause of the process a connection may have sent its request long
    // since.
    if (place->m_holder->HasInput()) {
      place->SetReading(aNow);
      continue;
    }
    place->Leave();
    place->m_holder->OnGivenUp();
    if (m_onLoss) {
      m_onLoss(loss, aNow);
    }
    return true;
  }
  return false;
}

void
ConnectionPlaces::CountTurnedAway(TimePoint aNow)
{
  m_shortage.CountTurnedAway(aNow, IsBusy());
  if (m_onLoss) {
    m_onLoss(PlaceLoss::TurnedAway, aNow);
  }
}

bool
ConnectionPlaces::IsShort(TimePoint aNow)
{
  return m_shortage.IsShort(aNow, IsBusy());
}

std::pair<ConnectionPlaces::Place*, PlaceLoss>
ConnectionPlaces::Choose(TimePoint aNow)
{
  const auto hasWaited = [&](const PlaceList& aList, Duration aWait) {
    return !aList.empty() && aNow - aList.front().m_since >= aWait;
  };
  if (hasWaited(m_reading, kStalledAfter)) {
    return { &m_reading.front(), PlaceLoss::Stalled };
  }
  if (hasWaited(m_idle, kLeastWait)) {
    return { &m_idle.front(), PlaceLoss::Idle };
  }
  if (hasWaited(m_reading, kLeastWait)) {
    return { &m_reading.front(), PlaceLoss::Slow };
  }
  return { nullptr, PlaceLoss::TurnedAway };
}

bool
ConnectionPlaces::IsBusy() const
{
  constexpr std::size_t kQuarter = 4;
  const std::size_t served = m_held - m_reading.size() - m_idle.size();
  return served > m_limit - m_limit / kQuarter;
}

std::size_t
LimitByDescriptors(std::size_t aWanted, std::size_t aDescriptors)
{
  constexpr std::size_t kQuarter = 4;
  return std::clamp<std::size_t>(aDescriptors - aDescriptors / kQuarter,
                                 1,
                                 std::max<std::size_t>(aWanted, 1));
}

std::size_t
MaxDescriptors()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return static_cast<std::size_t>(-1);
  }
  return limit.rlim_cur;
}

} // namespace parsleycove
