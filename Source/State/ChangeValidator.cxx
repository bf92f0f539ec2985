// Decides whether a configuration change may be accepted.
#include "State/ChangeValidator.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

template<typename Entity>
const Entity*
FindPut(const EntityList<Entity>& aPuts, std::string_view aName)
{
  const auto found =
    std::find_if(aPuts.begin(), aPuts.end(), [&](const auto& aEntity) {
      return NameOfEntity(*aEntity) == aName;
    });
  return found == aPuts.end() ? nullptr : found->get();
}

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::string
Describe(const std::string& aKind, const std::string& aName, const char* aFault)
{
  return aKind + " '" + aName + "': " + aFault;
}

// Checks the entities put and removed of one kind.
template<typename Entity>
Fault
CheckKind(const std::string& aKind,
          const EntityList<Entity>& aPuts,
          const std::vector<std::string>& aRemoved,
          const EntityList<Entity>& aPresent,
          Fault (*aCheck)(const Entity&))
{
  std::set<std::string_view> names;
  for (const auto& entity : aPuts) {
    if (!entity) {
      return aKind + ": an empty entry, expected an object";
    }
    if (auto fault = aCheck(*entity)) {
      return fault;
    }
    if (!names.insert(entity->name).second) {
      return Describe(
        aKind, entity->name, "put twice, expected each name once in a change");
    }
  }
  for (const std::string& name : aRemoved) {
    if (!names.insert(name).second) {
      return Describe(aKind,
                      name,
                      "removed and named again, expected each name once in a "
                      "change");
    }
    if (FindEntity(aPresent, name) == nullptr) {
      return Describe(
        aKind, name, "removed, expected the name of one that exists");
    }
  }
  return std::nullopt;
}

bool
IsEmpty(const state::ConfigChangeT& aChange)
{
  return aChange.put_classes.empty() && aChange.remove_classes.empty() &&
         aChange.put_accounts.empty() && aChange.remove_accounts.empty() &&
         aChange.put_models.empty() && aChange.remove_models.empty() &&
         aChange.put_services.empty() && aChange.remove_services.empty() &&
         !aChange.settings;
}

Fault
CheckShutdown(const state::ConfigChangeT& aChange, std::uint64_t aUnixMs)
{
  if (!aChange.settings) {
    return std::nullopt;
  }
  const std::uint64_t date = aChange.settings->shutdown_unix_ms;
  if (date == 0 || date > aUnixMs) {
    return std::nullopt;
  }
  return "settings: shutdown_unix_ms is " + std::to_string(date) +
         ", expected 0 or a time after " + std::to_string(aUnixMs);
}

} // namespace

ChangeValidator::ChangeValidator(
  const state::ConfigImageT& aImage,
  const std::unordered_map<std::string, std::string>& aAccountOfKey)
  : m_image(aImage)
  , m_accountOfKey(aAccountOfKey)
{
}

Fault
ChangeValidator::FindFault(const state::ConfigChangeT& aChange,
                           std::uint64_t aUnixMs) const
{
  if (IsEmpty(aChange)) {
    return "change: empty, expected at least one entity or settings";
  }
  if (auto fault = CheckForm(aChange)) {
    return fault;
  }
  if (auto fault = CheckKeys(aChange)) {
    return fault;
  }
  if (auto fault = CheckClassesInUse(aChange)) {
    return fault;
  }
  if (auto fault = CheckEndpointsInUse(aChange)) {
    return fault;
  }
  return CheckShutdown(aChange, aUnixMs);
}

Fault
ChangeValidator::CheckForm(const state::ConfigChangeT& aChange) const
{
  if (auto fault = CheckKind("class",
                             aChange.put_classes,
                             aChange.remove_classes,
                             m_image.classes,
                             CheckClass)) {
    return fault;
  }
  if (auto fault = CheckKind("account",
                             aChange.put_accounts,
                             aChange.remove_accounts,
                             m_image.accounts,
                             CheckAccount)) {
    return fault;
  }
  if (auto fault = CheckKind("model",
                             aChange.put_models,
                             aChange.remove_models,
                             m_image.models,
                             CheckModel)) {
    return fault;
  }
  return CheckKind("service",
                   aChange.put_services,
                   aChange.remove_services,
                   m_image.services,
                   CheckService);
}

Fault
ChangeValidator::CheckKeys(const state::ConfigChangeT& aChange) const
{
  // Accounts whose present key hash no longer counts after the change.
  std::unordered_set<std::string_view> replaced(aChange.remove_accounts.begin(),
                                                aChange.remove_accounts.end());
  for (const auto& account : aChange.put_accounts) {
    replaced.insert(account->name);
  }
  std::unordered_map<std::string_view, std::string_view> fresh;
  for (const auto& account : aChange.put_accounts) {
    const auto [other, added] = fresh.emplace(account->key_hash, account->name);
    const auto holder = m_accountOfKey.find(account->key_hash);
    const bool held =
      holder != m_accountOfKey.end() && replaced.count(holder->second) == 0;
    if (!added || held) {
      return "account '" + account->name +
             "': key_hash is the one of account '" +
             std::string(held ? std::string_view(holder->second)
                              : other->second) +
             "', expected one of its own";
    }
  }
  return std::nullopt;
}

Fault
ChangeValidator::CheckClassesInUse(const state::ConfigChangeT& aChange) const
{
  for (const auto& account : aChange.put_accounts) {
    const std::string& name = account->default_class;
    const bool present = FindEntity(m_image.classes, name) != nullptr &&
                         !Contains(aChange.remove_classes, name);
    if (!present && FindPut(aChange.put_classes, name) == nullptr) {
      return "account '" + account->name + "': default_class is '" + name +
             "', expected the name of a class";
    }
  }
  if (aChange.remove_classes.empty()) {
    return std::nullopt;
  }
  std::unordered_set<std::string_view> replaced(aChange.remove_accounts.begin(),
                                                aChange.remove_accounts.end());
  for (const auto& account : aChange.put_accounts) {
    replaced.insert(account->name);
  }
  for (const auto& account : m_image.accounts) {
    if (Contains(aChange.remove_classes, account->default_class) &&
        replaced.count(account->name) == 0) {
      return "class '" + account->default_class +
             "': removed, expected none in use, but it is the default_class "
             "of account '" +
             account->name + "'";
    }
  }
  return std::nullopt;
}

Fault
ChangeValidator::CheckEndpointsInUse(const state::ConfigChangeT& aChange) const
{
  if (aChange.put_models.empty() && aChange.remove_models.empty() &&
      aChange.remove_services.empty()) {
    return std::nullopt;
  }
  for (const auto& endpoint : m_image.endpoints) {
    if (auto fault = CheckEndpointInUse(aChange, *endpoint)) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault
ChangeValidator::CheckEndpointInUse(const state::ConfigChangeT& aChange,
                                    const state::EndpointT& aEndpoint) const
{
  if (aEndpoint.kind == state::EndpointKind::PlainService) {
    if (Contains(aChange.remove_services, aEndpoint.service)) {
      return "service '" + aEndpoint.service +
             "': removed, expected none in use, but endpoint '" + aEndpoint.id +
             "' serves it";
    }
    return std::nullopt;
  }
  if (Contains(aChange.remove_models, aEndpoint.model)) {
    return "model '" + aEndpoint.model +
           "': removed, expected none in use, but endpoint '" + aEndpoint.id +
           "' holds it";
  }
  const state::ModelT* model = FindPut(aChange.put_models, aEndpoint.model);
  if (model != nullptr && model->version == aEndpoint.version &&
      aEndpoint.last_layer >= model->layers) {
    return "model '" + model->name + "': layers is " +
           std::to_string(model->layers) + ", expected more than layer " +
           std::to_string(aEndpoint.last_layer) + " of endpoint '" +
           aEndpoint.id + "' of the same version";
  }
  return std::nullopt;
}

} // namespace parsleycove
