// The link of one VM to one endpoint, which a test can cut.
#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace parsleycove {

enum class LinkState
{
  Open,
  // Open connections are reset and new ones refused.
  Refuse,
  // Open connections go on, new ones are refused.
  RefuseNew,
  // Open connections are reset, and new ones are taken and reset.
  Reset,
  // Nothing passes, and connections stay open.
  Silent,
};

// Invariant: runs on the thread that runs its context.
class EndpointLink
{
public:
  EndpointLink(boost::asio::io_context& aContext, std::uint16_t aTarget);
  ~EndpointLink();
  EndpointLink(const EndpointLink&) = delete;
  EndpointLink& operator=(const EndpointLink&) = delete;

  std::uint16_t Port() const;
  void Set(LinkState aState);
  // Returns the number of connections that were accepted.
  int Connections() const;

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
