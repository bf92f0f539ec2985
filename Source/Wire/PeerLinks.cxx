// One outgoing link to each other replica, opened again whenever it ends.
#include "Wire/PeerLinks.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace parsleycove {

namespace asio = boost::asio;

// The link to one peer and the timer that opens the next one.
//
// Counted, because a timer's handler may be queued while the peer is removed.
class PeerLinks::Peer final
  : public FrameLinkListener
  , public boost::intrusive_ref_counter<Peer>
{
public:
  Peer(PeerLinks& aOwner, const PeerAddress& aPeer)
    : m_owner(aOwner)
    , m_peer(aPeer)
    , m_timer(aOwner.m_context)
    , m_random(aOwner.m_options.m_seed ^ aPeer.m_replica)
  {
  }
  ~Peer() override = default;
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  const SocketAddress& Address() const { return m_peer.m_address; }
  bool IsOpen() const { return m_link && m_link->IsOpen(); }

  std::size_t CountQueuedBytes() const
  {
    return m_link ? m_link->CountQueuedBytes() : 0;
  }

  void Connect()
  {
    m_link = FrameLink::Connect(
      m_owner.m_context, m_peer.m_address, m_owner.m_options.m_link, *this);
  }

  void Close()
  {
    m_closed = true;
    m_timer.cancel();
    if (m_link) {
      m_link->Close();
    }
  }

  void Send(Frame::Pointer aFrame)
  {
    if (m_link) {
      m_link->Send(std::move(aFrame));
    }
  }

  void OnOpen(FrameLink& /*aLink*/) override { m_reported = false; }
  void OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame) override
  {
    m_owner.m_frames(aLink, aFrame);
  }
  void OnClosed(FrameLink& /*aLink*/, const WireReason& aReason) override
  {
    m_link.reset();
    if (!std::exchange(m_reported, true)) {
      m_owner.m_log("link to replica " + std::to_string(m_peer.m_replica) +
                    " ended: " + aReason.m_text);
    }
    ConnectLater();
  }

private:
  void ConnectLater()
  {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    const auto pause =
      std::chrono::duration<double>(m_owner.m_options.m_reconnectInterval) *
      factor(m_random);
    m_timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(pause));
    m_timer.async_wait([self = boost::intrusive_ptr<Peer>(this)](
                         const boost::system::error_code& aError) {
      if (!aError && !self->m_closed) {
        self->Connect();
      }
    });
  }

  PeerLinks& m_owner;
  const PeerAddress m_peer;
  FrameLink::Pointer m_link;
  asio::steady_timer m_timer;
  std::mt19937_64 m_random;
  bool m_closed = false;
  bool m_reported = false; // one log line for each outage
};

PeerLinks::PeerLinks(asio::io_context& aContext,
                     const PeerLinksOptions& aOptions,
                     FrameHandler aFrames,
                     LogHandler aLog)
  : m_context(aContext)
  , m_options(aOptions)
  , m_frames(std::move(aFrames))
  , m_log(std::move(aLog))
{
}

PeerLinks::~PeerLinks()
{
  Close();
}

void
PeerLinks::SetPeers(const std::vector<PeerAddress>& aPeers)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    const bool kept =
      std::any_of(aPeers.begin(), aPeers.end(), [&](const PeerAddress& aPeer) {
        return aPeer.m_replica == aEntry.first &&
               aPeer.m_address == aEntry.second->Address();
      });
    if (!kept) {
      aEntry.second->Close();
    }
    return !kept;
  });
  for (const PeerAddress& peer : aPeers) {
    if (!m_peers.contains(peer.m_replica)) {
      boost::intrusive_ptr<Peer> added(new Peer(*this, peer));
      added->Connect();
      m_peers.emplace(peer.m_replica, std::move(added));
    }
  }
}

bool
PeerLinks::Send(std::uint64_t aReplica, Frame::Pointer aFrame)
{
  const auto found = m_peers.find(aReplica);
  if (found == m_peers.end()) {
    return false;
  }
  found->second->Send(std::move(aFrame));
  return true;
}

bool
PeerLinks::IsOpen(std::uint64_t aReplica) const
{
  const auto found = m_peers.find(aReplica);
  return found != m_peers.end() && found->second->IsOpen();
}

std::size_t
PeerLinks::CountQueuedBytes(std::uint64_t aReplica) const
{
  const auto found = m_peers.find(aReplica);
  return found == m_peers.end() ? 0 : found->second->CountQueuedBytes();
}

std::size_t
PeerLinks::CountQueuedBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [replica, peer] : m_peers) {
    bytes += peer->CountQueuedBytes();
  }
  return bytes;
}

void
PeerLinks::Close()
{
  for (const auto& [replica, peer] : m_peers) {
    peer->Close();
  }
  m_peers.clear();
}

} // namespace parsleycove
