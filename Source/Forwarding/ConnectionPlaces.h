// Decides which connection is given up when a listener holds as many as it may.
// Load pattern: clients that keep to no limit open thousands of connections,
// send nothing or a part of a request, and open each closed one again, while
// ordinary callers come with new connections.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include <boost/intrusive/list.hpp>

#include "Base/Clock.h"
#include "Base/EnumTable.h"
#include "Forwarding/PlaceShortage.h"

namespace parsleycove {

// What a listener did for lack of places.
enum class PlaceLoss
{
  // Gave up a connection that had sent too little for ConnectionPlaces::
  // kStalledAfter: nothing since it was opened, or a part of a request.
  Stalled,
  // Gave up a connection that had been answered and had begun no new request.
  Idle,
  // Gave up a connection in the middle of a request that was arriving.
  Slow,
  // Closed a new connection, since none could be given up.
  TurnedAway,
};

inline constexpr std::array<EnumName<PlaceLoss>, 4> kPlaceLossNames{ {
  { PlaceLoss::Stalled, "stalled" },
  { PlaceLoss::Idle, "idle" },
  { PlaceLoss::Slow, "slow" },
  { PlaceLoss::TurnedAway, "turned_away" },
} };

// Gives up stalled connections first, then idle ones, then slow ones, in each
// case the one that has waited longest. A connection whose request is being
// served or answered is never given up, so none of the requests that are given
// up has run.
//
// Invariant: used by one thread.
class ConnectionPlaces : public std::enable_shared_from_this<ConnectionPlaces>
{
public:
  // The connection at a place.
  class Holder
  {
  public:
    virtual ~Holder() = default;
    // Returns true if something has arrived that has not been read.
    virtual bool HasInput() const = 0;
    // Called at most once; closes the connection at once, and must not destroy
    // any place.
    virtual void OnGivenUp() = 0;
  };

  class Place : public boost::intrusive::list_base_hook<>
  {
  public:
    // Shares the places, which a connection in a suspended coroutine may
    // outlive.
    explicit Place(std::shared_ptr<ConnectionPlaces> aPlaces);
    ~Place() { Leave(); }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // Until a holder is set, the place is not given up.
    void SetHolder(Holder& aHolder) { m_holder = &aHolder; }
    // A request is awaited for the first time, or has begun.
    void SetReading(TimePoint aNow);
    // The connection has sent aBytes of a request; one that was idle has begun
    // it.
    void AddReceived(std::size_t aBytes, TimePoint aNow);
    // An answer was written, and no new request has begun.
    void SetIdle(TimePoint aNow);
    // A request is served or answered. Returns false if the connection was
    // given up, perhaps while the last bytes of the request were on their way
    // to the reader: the request must not be served.
    bool SetServed();
    // Frees the place; the connection is closed.
    void Leave();

  private:
    friend class ConnectionPlaces;

    enum class Stage
    {
      Served,
      Reading,
      Idle,
      Left,
    };

    void Move(Stage aStage, TimePoint aNow);

    const std::shared_ptr<ConnectionPlaces> m_places;
    Holder* m_holder = nullptr;
    Stage m_stage = Stage::Served;
    // Start of the stage, or last time at which enough was received.
    TimePoint m_since{};
    std::size_t m_bytesSince = 0;
  };

  using LossObserver = std::function<void(PlaceLoss, TimePoint)>;

  // A caller inside the limits sends its request without longer pauses.
  static constexpr Duration kStalledAfter = std::chrono::seconds(1);
  // A caller gets this long for the first bytes or the next ones, about a round
  // trip between distant zones. A longer time would turn ordinary callers away
  // while a crowd takes all places within it.
  static constexpr Duration kLeastWait = std::chrono::milliseconds(100);
  // Fewer bytes are no progress, so that a request in pieces of a few bytes
  // counts as stalled. An ordinary caller's packets are larger: the smallest
  // that TCP falls back to carry 536 bytes.
  static constexpr std::size_t kProgressBytes = 512;

  // aLimit: most connections, at least 1. aOnLoss: may be empty.
  explicit ConnectionPlaces(std::size_t aLimit, LossObserver aOnLoss = {});

  // Returns a place for a new connection, or nullptr if all are taken by
  // requests that are being served and by connections that are too new.
  std::unique_ptr<Place> Take(TimePoint aNow);
  // Gives up one connection; returns false if there is none to give up. For a
  // process that is short of descriptors.
  bool GiveUpOne(TimePoint aNow);
  // Records that a new connection was not taken for lack of descriptors.
  void CountTurnedAway(TimePoint aNow);

  std::size_t Held() const { return m_held; }
  std::size_t Limit() const { return m_limit; }
  // Returns true while most new connections are turned away.
  bool IsShort(TimePoint aNow);

private:
  using PlaceList = boost::intrusive::list<Place>;

  // Returns the connection to give up and why, or nullptr.
  std::pair<Place*, PlaceLoss> Choose(TimePoint aNow);
  // Returns true if too few places are left for new connections.
  bool IsBusy() const;

  const std::size_t m_limit;
  const LossObserver m_onLoss;
  std::size_t m_held = 0;
  // Each in the order of m_since.
  PlaceList m_reading;
  PlaceList m_idle;
  PlaceShortage m_shortage;
};

// Returns how many connections one listener may hold, of at most aWanted: at
// least a quarter of the process's descriptors is left by it. Two listeners
// together may hold more.
std::size_t
LimitByDescriptors(std::size_t aWanted, std::size_t aDescriptors);

// Returns the most descriptors that this process may open.
std::size_t
MaxDescriptors();

} // namespace parsleycove
