// The operators' JSON form of configuration entities and changes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "State/StateReason.h"
#include "StateGenerated.h"

namespace parsleycove {

// Parses a change with the keys of the schema: put_classes, remove_classes,
// put_accounts, ..., settings. An unknown field is an error that names it.
std::optional<state::ConfigChangeT>
ParseConfigChange(std::string_view aJson, StateReason& aReason);
// Parses the body of an announcement.
std::optional<state::EndpointT>
ParseEndpoint(std::string_view aJson, StateReason& aReason);

// Prints one JSON object each, with the keys in a fixed order.
std::string
PrintConfigChange(const state::ConfigChangeT& aChange);
std::string
PrintClass(const state::WorkClassT& aClass);
// Leaves the key hash out.
std::string
PrintAccount(const state::ClientAccountT& aAccount);
std::string
PrintModel(const state::ModelT& aModel);
std::string
PrintService(const state::ServiceT& aService);
std::string
PrintEndpoint(const state::EndpointT& aEndpoint);
std::string
PrintOrder(const state::EngineOrderT& aOrder);
std::string
PrintPromptPart(const state::PromptPartT& aPart);
std::string
PrintEndpointLimit(const state::EndpointLimitT& aLimit);
std::string
PrintGateway(const state::EntryGatewayT& aGateway);
std::string
PrintSettings(const state::SettingsT& aSettings);

} // namespace parsleycove
