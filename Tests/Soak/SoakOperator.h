// The operator of a soak: sends whole configurations until each is accepted,
// reads them back, and takes keys away.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Forwarding/EndpointClient.h"
#include "Soak/SoakLedger.h"

namespace parsleycove {

class SoakOperator
{
public:
  SoakOperator(boost::asio::io_context& aContext,
               SoakLedger& aLedger,
               std::vector<SocketAddress> aControls);

  // Sends the next version, with or without the second account's key.
  void Change(bool aHasSecondKey);
  // One read from each control VM. A read that was sent long enough after an
  // acknowledgement must not show an older version.
  void ReadAll(const std::function<void(std::uint64_t)>& aOnVersion = {});
  std::uint64_t AcceptedVersion() const { return m_accepted; }
  bool IsSettled() const { return m_sent == m_accepted; }

private:
  boost::asio::awaitable<void> Send(std::uint64_t aVersion, bool aHasSecondKey);
  boost::asio::awaitable<void> Read(
    SocketAddress aControl,
    std::function<void(std::uint64_t)> aOnVersion);
  // Newest version whose acknowledgement is at least as old as aBefore.
  std::uint64_t AcceptedBefore(TimePoint aBefore) const;

  boost::asio::io_context& m_context;
  SoakLedger& m_ledger;
  const std::vector<SocketAddress> m_controls;
  EndpointClient m_client;
  std::uint64_t m_sent = 0;
  std::uint64_t m_accepted = 0;
  // Newest version that was sent with the second account's key.
  std::uint64_t m_withSecondKey = 0;
  std::vector<std::pair<TimePoint, std::uint64_t>> m_acknowledgements;
};

} // namespace parsleycove
