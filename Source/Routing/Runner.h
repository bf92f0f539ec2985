// Describes one announced endpoint to the code that routes requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/SocketAddress.h"
#include "Routing/RunnerLoad.h"
#include "StateGenerated.h"

namespace parsleycove {

// An engine with a range of layers, or an endpoint of a plain service.
//
// Invariant: unchanged once its table is published; only the object at m_load
// changes.
class Runner : public boost::intrusive_ref_counter<Runner>
{
public:
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  state::EndpointKind m_kind{};
  state::EndpointPhase m_phase{};
  SocketAddress m_address;
  std::string m_zone;
  // Index into the zones of the table that holds this runner.
  std::uint32_t m_zoneIndex = 0;
  std::string m_model;
  std::string m_version;
  std::string m_service;
  std::string m_accelerator;
  std::uint32_t m_firstLayer = 0;
  // Inclusive.
  std::uint32_t m_lastLayer = 0;
  // True if a gateway reported the endpoint as failed and the endpoint has not
  // announced itself since.
  bool m_isSuspected = false;
  // Another VM that takes requests over and calls the endpoints for them.
  bool m_isGateway = false;
  // For managed engines: number of layers held from m_firstLayer on.
  std::uint32_t m_layerCount = 0;
  double m_tokensPerSecond = 0;
  std::uint32_t m_slots = 0;
  // Hash of m_id; equal in all processes.
  std::uint64_t m_idHash = 0;
  boost::intrusive_ptr<RunnerLoad> m_load;
};

using RunnerPtr = boost::intrusive_ptr<const Runner>;

// Returns a value that differs between two starts of an endpoint under one id.
std::uint64_t
IncarnationKey(const Runner& aRunner);

// Hashes an id or prefix to a value that is equal in all processes.
std::uint64_t
HashId(std::string_view aId);

} // namespace parsleycove
