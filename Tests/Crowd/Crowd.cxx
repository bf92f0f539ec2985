// Clients that keep to no limit.
#include "Crowd/Crowd.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr char kNoBody[] = "Content-Length: 0\r\n\r\n";
constexpr std::size_t kAnswerPieceBytes = 16UL * 1024;
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";

const std::array<CrowdScript, 6>&
Scripts()
{
  // The body limit of the tests is 65536 bytes at entry VMs: chunked bodies
  // stop just short of it.
  static const std::array<CrowdScript, 6> kScripts{ {
    { CrowdKind::EndlessTrailers,
      "endless-trailers",
      std::string(kChunked) + "1\r\nx\r\n0\r\n",
      "Trailer-Field: " + std::string(111, 't') + "\r\n",
      2048 },
    { CrowdKind::LargeChunks,
      "large-chunks",
      std::string(kChunked) + "f800\r\n",
      std::string(0xf7, 'x'),
      256 },
    { CrowdKind::OneByteChunks,
      "one-byte-chunks",
      kChunked,
      "1\r\nx\r\n",
      60'000 },
    { CrowdKind::AnnouncedBody,
      "announced-body",
      "Content-Length: 67108864\r\n\r\n",
      std::string(4096, 'x'),
      256 },
    { CrowdKind::SentBody,
      "sent-body",
      kChunked,
      "1000\r\n" + std::string(4096, 'x') + "\r\n",
      256 },
    { CrowdKind::EndlessAnswers,
      "endless-answers",
      kNoBody,
      "",
      0,
      "\r\n",
      std::string(kAnswerPieceBytes, 'x') },
  } };
  return kScripts;
}

} // namespace

const CrowdScript*
FindCrowd(std::string_view aName)
{
  const auto& scripts = Scripts();
  const auto place = std::find_if(
    scripts.begin(), scripts.end(), [&](const CrowdScript& aScript) {
      return aScript.m_name == aName;
    });
  return place == scripts.end() ? nullptr : &*place;
}

Crowd::Crowd(boost::asio::io_context& aContext,
             SocketAddress aTo,
             std::string_view aTarget,
             const CrowdScript& aScript)
  : m_context(aContext)
  , m_to(std::move(aTo))
  , m_script(aScript)
  , m_head("POST " + std::string(aTarget) +
           " HTTP/1.1\r\nHost: one.example\r\nAuthorization: Bearer k1\r\n")
{
}

void
Crowd::Start()
{
  for (std::size_t i = 0; i < kCrowdClients; ++i) {
    m_sockets.push_back(std::make_unique<Tcp::socket>(m_context));
    ++m_sending;
    boost::asio::co_spawn(
      m_context, Send(*m_sockets.back(), i), boost::asio::detached);
  }
}

boost::asio::awaitable<void>
Crowd::Send(Tcp::socket& aSocket, std::size_t aNumber)
{
  constexpr std::size_t kPiecesAtOnce = 512;
  auto [error] = co_await aSocket.async_connect(
    { asio::ip::make_address(m_to.m_address), m_to.m_port }, kAwait);
  std::string bytes = m_head + "Attempt-Id: crowd-" + std::to_string(aNumber) +
                      "\r\n" + m_script.m_head;
  std::size_t sent = 0;
  while (!error && (!bytes.empty() || sent < m_script.m_pieces)) {
    const std::size_t more = std::min(kPiecesAtOnce, m_script.m_pieces - sent);
    for (std::size_t i = 0; i < more; ++i) {
      bytes += m_script.m_piece;
    }
    sent += more;
    const auto [writeError, count] =
      co_await asio::async_write(aSocket, asio::buffer(bytes), kAwait);
    error = writeError;
    bytes.clear();
  }
  m_cutOff += error ? 1 : 0;
  --m_sending;
}

} // namespace parsleycove
