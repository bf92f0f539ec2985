// One outgoing link to each other replica, opened again whenever it ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "Base/SocketAddress.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

struct PeerAddress
{
  std::uint64_t m_replica = 0;
  SocketAddress m_address;

  bool operator==(const PeerAddress&) const = default;
};

struct PeerLinksOptions
{
  FrameLinkOptions m_link;
  // A new link is tried after between a half and one and a half of these.
  Duration m_reconnectInterval = std::chrono::milliseconds(100);
  std::uint64_t m_seed = 1;
};

// Keeps links to the peers. A link that is silent beyond its limit is replaced
// by a new one, since another connection may work where this one is lost.
class PeerLinks
{
public:
  // What a peer sends on the link that was opened to it.
  using FrameHandler = std::function<void(FrameLink&, const ReceivedFrame&)>;
  using LogHandler = std::function<void(const std::string&)>;

  PeerLinks(boost::asio::io_context& aContext,
            const PeerLinksOptions& aOptions,
            FrameHandler aFrames,
            LogHandler aLog);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Links to peers that are not named any more are closed.
  void SetPeers(const std::vector<PeerAddress>& aPeers);
  // Drops the frame while the peer's link is being replaced. False when the
  // peer is unknown.
  bool Send(std::uint64_t aReplica, Frame::Pointer aFrame);
  bool IsOpen(std::uint64_t aReplica) const;
  // Bytes that wait to be sent to a peer, and to all of them.
  std::size_t CountQueuedBytes(std::uint64_t aReplica) const;
  std::size_t CountQueuedBytes() const;
  void Close();

private:
  class Peer;

  boost::asio::io_context& m_context;
  const PeerLinksOptions m_options;
  const FrameHandler m_frames;
  const LogHandler m_log;
  std::map<std::uint64_t, boost::intrusive_ptr<Peer>> m_peers;
};

} // namespace parsleycove
