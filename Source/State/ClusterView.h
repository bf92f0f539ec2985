// The immutable copy of configuration and registry that a gateway works from.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "StateGenerated.h"

namespace parsleycove {

// One revision of the configuration with the endpoints known at that point.
//
// Invariant: never changed after construction, so any thread may read it.
class ClusterView : public boost::intrusive_ref_counter<ClusterView>
{
public:
  explicit ClusterView(state::ConfigImageT aImage);

  const state::ConfigImageT& Image() const { return m_image; }
  std::uint64_t Revision() const { return m_image.revision; }
  // Log index up to which this copy is complete.
  std::uint64_t Index() const { return m_image.index; }

  // Each returns null when there is none of that name.
  const state::WorkClassT* FindClass(std::string_view aName) const;
  const state::ClientAccountT* FindAccount(std::string_view aName) const;
  const state::ClientAccountT* FindAccountByKeyHash(
    std::string_view aHash) const;
  const state::ModelT* FindModel(std::string_view aName) const;
  const state::ServiceT* FindService(std::string_view aName) const;
  const state::EndpointT* FindEndpoint(std::string_view aId) const;

private:
  const state::ConfigImageT m_image;
  // Keys point into m_image.
  std::unordered_map<std::string_view, const state::WorkClassT*> m_classes;
  std::unordered_map<std::string_view, const state::ClientAccountT*> m_accounts;
  std::unordered_map<std::string_view, const state::ClientAccountT*> m_keys;
  std::unordered_map<std::string_view, const state::ModelT*> m_models;
  std::unordered_map<std::string_view, const state::ServiceT*> m_services;
  std::unordered_map<std::string_view, const state::EndpointT*> m_endpoints;
};

} // namespace parsleycove
