// Sorted lists of configuration entities that are told apart by a name.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "StateGenerated.h"

namespace parsleycove {

template<typename Entity>
using EntityList = std::vector<std::unique_ptr<Entity>>;

template<typename Entity>
const std::string&
NameOfEntity(const Entity& aEntity)
{
  return aEntity.name;
}

inline const std::string&
NameOfEntity(const state::EndpointT& aEntity)
{
  return aEntity.id;
}

inline const std::string&
NameOfEntity(const state::EngineOrderT& aEntity)
{
  return aEntity.id;
}

inline const std::string&
NameOfEntity(const state::PromptPartT& aEntity)
{
  return aEntity.id;
}

inline const std::string&
NameOfEntity(const state::EndpointLimitT& aEntity)
{
  return aEntity.id;
}

inline const std::string&
NameOfEntity(const state::LimitShareT& aEntity)
{
  return aEntity.gateway;
}

inline const std::string&
NameOfEntity(const state::EntryGatewayT& aEntity)
{
  return aEntity.vm;
}

// Returns the position of the name, or the one at which it belongs.
template<typename List>
auto
FindPosition(List& aList, std::string_view aName)
{
  return std::lower_bound(
    aList.begin(), aList.end(), aName, [](const auto& aEntity, auto aKey) {
      return NameOfEntity(*aEntity) < aKey;
    });
}

// Returns null when there is none of that name.
template<typename Entity>
Entity*
FindEntity(const EntityList<Entity>& aList, std::string_view aName)
{
  const auto position = FindPosition(aList, aName);
  if (position == aList.end() || NameOfEntity(**position) != aName) {
    return nullptr;
  }
  return position->get();
}

// Adds the entity or replaces the one of the same name.
template<typename Entity>
void
PutEntity(EntityList<Entity>& aList, const Entity& aEntity)
{
  auto copy = std::make_unique<Entity>(aEntity);
  const auto position = FindPosition(aList, NameOfEntity(aEntity));
  if (position != aList.end() &&
      NameOfEntity(**position) == NameOfEntity(aEntity)) {
    *position = std::move(copy);
  } else {
    aList.insert(position, std::move(copy));
  }
}

template<typename Entity>
void
RemoveEntity(EntityList<Entity>& aList, std::string_view aName)
{
  const auto position = FindPosition(aList, aName);
  if (position != aList.end() && NameOfEntity(**position) == aName) {
    aList.erase(position);
  }
}

template<typename Entity>
void
SortEntities(EntityList<Entity>& aList)
{
  std::sort(
    aList.begin(), aList.end(), [](const auto& aLeft, const auto& aRight) {
      return NameOfEntity(*aLeft) < NameOfEntity(*aRight);
    });
}

// True when the list has no empty place, is sorted and names are unique.
template<typename Entity>
bool
IsSortedAndUnique(const EntityList<Entity>& aList)
{
  const bool whole =
    std::all_of(aList.begin(), aList.end(), [](const auto& aEntity) {
      return aEntity != nullptr;
    });
  return whole && std::adjacent_find(aList.begin(),
                                     aList.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return NameOfEntity(*aLeft) >=
                                              NameOfEntity(*aRight);
                                     }) == aList.end();
}

} // namespace parsleycove
