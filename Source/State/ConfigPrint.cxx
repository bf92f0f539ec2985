// The operators' JSON form of configuration entities and changes: printing.
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "State/ConfigJson.h"
#include "State/NamedEntities.h"
#include "State/PromptPartTable.h"
#include "State/StateNames.h"

namespace parsleycove {

namespace {

namespace json = boost::json;

json::string
ToJson(std::string_view aText)
{
  return json::string(aText.data(), aText.size());
}

json::array
ToJson(const std::vector<std::string>& aTexts)
{
  json::array result;
  for (const std::string& text : aTexts) {
    result.push_back(ToJson(text));
  }
  return result;
}

json::object
ToJson(const state::WorkClassT& aClass)
{
  return { { "name", ToJson(aClass.name) },
           { "first_token_ms", aClass.first_token_ms },
           { "token_interval_ms", aClass.token_interval_ms },
           { "completion_ms", aClass.completion_ms },
           { "success_per_mille", aClass.success_per_mille } };
}

json::object
ToJson(const state::ClientAccountT& aAccount)
{
  return { { "name", ToJson(aAccount.name) },
           { "key_hash", ToJson(aAccount.key_hash) },
           { "default_class", ToJson(aAccount.default_class) } };
}

json::object
ToJson(const state::ModelT& aModel)
{
  return { { "name", ToJson(aModel.name) },
           { "version", ToJson(aModel.version) },
           { "layers", aModel.layers } };
}

json::object
ToJson(const state::ServiceT& aService)
{
  return { { "name", ToJson(aService.name) },
           { "idempotent_prefixes", ToJson(aService.idempotent_prefixes) },
           { "reports_not_run", aService.reports_not_run } };
}

json::object
ToJson(const state::SettingsT& aSettings)
{
  return { { "shutdown_unix_ms", aSettings.shutdown_unix_ms } };
}

template<typename Entity>
void
AddList(json::object& aObject,
        std::string_view aName,
        const EntityList<Entity>& aList)
{
  if (aList.empty()) {
    return;
  }
  json::array list;
  for (const auto& entity : aList) {
    list.push_back(entity ? json::value(ToJson(*entity)) : json::value());
  }
  aObject[aName] = std::move(list);
}

void
AddNames(json::object& aObject,
         std::string_view aName,
         const std::vector<std::string>& aNames)
{
  if (!aNames.empty()) {
    aObject[aName] = ToJson(aNames);
  }
}

void
AddEngine(json::object& aObject, const state::EndpointT& aEndpoint)
{
  aObject["model"] = ToJson(aEndpoint.model);
  aObject["version"] = ToJson(aEndpoint.version);
  aObject["first_layer"] = aEndpoint.first_layer;
  aObject["last_layer"] = aEndpoint.last_layer;
  aObject["accelerator"] = ToJson(aEndpoint.accelerator);
  aObject["tokens_per_second"] = aEndpoint.tokens_per_second;
  aObject["checks_fencing"] = aEndpoint.checks_fencing;
}

} // namespace

std::string
PrintConfigChange(const state::ConfigChangeT& aChange)
{
  json::object object;
  AddList(object, "put_classes", aChange.put_classes);
  AddNames(object, "remove_classes", aChange.remove_classes);
  AddList(object, "put_accounts", aChange.put_accounts);
  AddNames(object, "remove_accounts", aChange.remove_accounts);
  AddList(object, "put_models", aChange.put_models);
  AddNames(object, "remove_models", aChange.remove_models);
  AddList(object, "put_services", aChange.put_services);
  AddNames(object, "remove_services", aChange.remove_services);
  if (aChange.settings) {
    object["settings"] = ToJson(*aChange.settings);
  }
  return json::serialize(object);
}

std::string
PrintClass(const state::WorkClassT& aClass)
{
  return json::serialize(ToJson(aClass));
}

std::string
PrintAccount(const state::ClientAccountT& aAccount)
{
  json::object object = ToJson(aAccount);
  object.erase("key_hash");
  return json::serialize(object);
}

std::string
PrintModel(const state::ModelT& aModel)
{
  return json::serialize(ToJson(aModel));
}

std::string
PrintService(const state::ServiceT& aService)
{
  return json::serialize(ToJson(aService));
}

std::string
PrintEndpoint(const state::EndpointT& aEndpoint)
{
  json::object object{
    { "id", ToJson(aEndpoint.id) },
    { "incarnation", aEndpoint.incarnation },
    { "kind", ToJson(NameOf(kEndpointKindNames, aEndpoint.kind)) },
    { "phase", ToJson(NameOf(kEndpointPhaseNames, aEndpoint.phase)) },
    { "address", ToJson(aEndpoint.address) },
    { "port", aEndpoint.port },
    { "zone", ToJson(aEndpoint.zone) },
    { "slots", aEndpoint.slots }
  };
  if (aEndpoint.kind == state::EndpointKind::Engine) {
    AddEngine(object, aEndpoint);
  } else {
    object["service"] = ToJson(aEndpoint.service);
  }
  return json::serialize(object);
}

std::string
PrintOrder(const state::EngineOrderT& aOrder)
{
  const state::EndpointRefT none;
  const auto& endpoint = aOrder.endpoint ? *aOrder.endpoint : none;
  const json::object object{ { "id", ToJson(aOrder.id) },
                             { "endpoint", ToJson(endpoint.id) },
                             { "incarnation", endpoint.incarnation },
                             { "kind",
                               ToJson(NameOf(kOrderKindNames, aOrder.kind)) },
                             { "model", ToJson(aOrder.model) },
                             { "version", ToJson(aOrder.version) },
                             { "adapter", ToJson(aOrder.adapter) },
                             { "first_layer", aOrder.first_layer },
                             { "last_layer", aOrder.last_layer },
                             { "role", ToJson(aOrder.role) },
                             { "term", aOrder.term },
                             { "sequence", aOrder.sequence },
                             { "done", aOrder.done } };
  return json::serialize(object);
}

std::string
PrintPromptPart(const state::PromptPartT& aPart)
{
  json::array crashes;
  for (const auto& crash : aPart.crashes) {
    crashes.push_back(
      json::object{ { "endpoint", ToJson(crash->endpoint->id) },
                    { "incarnation", crash->endpoint->incarnation },
                    { "attempt", ToJson(crash->attempt) },
                    { "unix_ms", crash->unix_ms } });
  }
  const json::object object{ { "id", ToJson(aPart.id) },
                             { "quarantined_unix_ms",
                               aPart.quarantined_unix_ms },
                             { "trials", aPart.trials },
                             { "next_trial_unix_ms", NextTrialUnixMs(aPart) },
                             { "cleared_unix_ms", aPart.cleared_unix_ms },
                             { "crashes", std::move(crashes) } };
  return json::serialize(object);
}

std::string
PrintEndpointLimit(const state::EndpointLimitT& aLimit)
{
  json::array shares;
  for (const auto& share : aLimit.shares) {
    shares.push_back(json::object{ { "gateway", ToJson(share->gateway) },
                                   { "demand_per_1000_s", share->demand },
                                   { "unix_ms", share->unix_ms } });
  }
  const json::object object{ { "id", ToJson(aLimit.id) },
                             { "incarnation", aLimit.incarnation },
                             { "per_1000_s", aLimit.per_1000_s },
                             { "gateways", aLimit.shares.size() },
                             { "shares", std::move(shares) } };
  return json::serialize(object);
}

std::string
PrintGateway(const state::EntryGatewayT& aGateway)
{
  json::array unreached;
  for (const std::string& service : aGateway.unreached) {
    unreached.push_back(ToJson(service));
  }
  const json::object object{
    { "vm", ToJson(aGateway.vm) },           { "zone", ToJson(aGateway.zone) },
    { "address", ToJson(aGateway.address) }, { "port", aGateway.port },
    { "unreached", std::move(unreached) },   { "unix_ms", aGateway.unix_ms }
  };
  return json::serialize(object);
}

std::string
PrintSettings(const state::SettingsT& aSettings)
{
  return json::serialize(ToJson(aSettings));
}

} // namespace parsleycove
