// Clients that keep to no limit: each sends a part of a request that never ends
// and keeps its connection open; and clients whose endpoint keeps to none.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/SocketAddress.h"
#include "Wire/Http.h"

namespace parsleycove {

inline constexpr std::size_t kCrowdClients = 400;

enum class CrowdKind
{
  EndlessTrailers,
  LargeChunks,
  OneByteChunks,
  AnnouncedBody,
  SentBody,
  // Ordinary requests whose endpoint answers without end.
  EndlessAnswers,
};

struct CrowdScript
{
  CrowdKind m_kind;
  std::string_view m_name;
  // What follows the header's first lines.
  std::string m_head;
  // Sent again and again.
  std::string m_piece;
  std::size_t m_pieces;
  // What an endpoint sends in place of an answer: the end of its head, and
  // bytes without end; empty for crowds that are at fault themselves.
  std::string m_answerHead{};
  std::string m_answerBytes{};
};

// Returns the script of a name, or nullptr if there is none.
const CrowdScript*
FindCrowd(std::string_view aName);

// Invariant: runs on the thread of its context.
class Crowd
{
public:
  Crowd(boost::asio::io_context& aContext,
        SocketAddress aTo,
        std::string_view aTarget,
        const CrowdScript& aScript);

  void Start();
  // Returns true once each client has sent everything or was cut off.
  bool HasSent() const { return m_sending == 0; }
  std::size_t CutOff() const { return m_cutOff; }

private:
  boost::asio::awaitable<void> Send(Tcp::socket& aSocket, std::size_t aNumber);

  boost::asio::io_context& m_context;
  const SocketAddress m_to;
  const CrowdScript& m_script;
  const std::string m_head;
  std::vector<std::unique_ptr<Tcp::socket>> m_sockets;
  std::size_t m_sending = 0;
  std::size_t m_cutOff = 0;
};

} // namespace parsleycove
