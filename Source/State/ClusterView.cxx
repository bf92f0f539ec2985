// The immutable copy of configuration and registry that a gateway works from.
#include "State/ClusterView.h"

#include <utility>

namespace parsleycove {

namespace {

template<typename Entity>
const Entity*
Find(const std::unordered_map<std::string_view, const Entity*>& aIndex,
     std::string_view aName)
{
  const auto found = aIndex.find(aName);
  return found == aIndex.end() ? nullptr : found->second;
}

} // namespace

ClusterView::ClusterView(state::ConfigImageT aImage)
  : m_image(std::move(aImage))
{
  for (const auto& entity : m_image.classes) {
    m_classes.emplace(entity->name, entity.get());
  }
  for (const auto& entity : m_image.accounts) {
    m_accounts.emplace(entity->name, entity.get());
    m_keys.emplace(entity->key_hash, entity.get());
  }
  for (const auto& entity : m_image.models) {
    m_models.emplace(entity->name, entity.get());
  }
  for (const auto& entity : m_image.services) {
    m_services.emplace(entity->name, entity.get());
  }
  for (const auto& entity : m_image.endpoints) {
    m_endpoints.emplace(entity->id, entity.get());
  }
}

const state::WorkClassT*
ClusterView::FindClass(std::string_view aName) const
{
  return Find(m_classes, aName);
}

const state::ClientAccountT*
ClusterView::FindAccount(std::string_view aName) const
{
  return Find(m_accounts, aName);
}

const state::ClientAccountT*
ClusterView::FindAccountByKeyHash(std::string_view aHash) const
{
  return Find(m_keys, aHash);
}

const state::ModelT*
ClusterView::FindModel(std::string_view aName) const
{
  return Find(m_models, aName);
}

const state::ServiceT*
ClusterView::FindService(std::string_view aName) const
{
  return Find(m_services, aName);
}

const state::EndpointT*
ClusterView::FindEndpoint(std::string_view aId) const
{
  return Find(m_endpoints, aId);
}

} // namespace parsleycove
