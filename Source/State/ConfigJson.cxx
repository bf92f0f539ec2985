// The operators' JSON form of configuration entities and changes: reading.
#include "State/ConfigJson.h"

#include <memory>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include "State/JsonFields.h"
#include "State/NamedEntities.h"
#include "State/StateNames.h"

namespace parsleycove {

namespace {

void
ReadEntity(JsonFields& aFields, state::WorkClassT& aClass)
{
  aFields.ReadText("name", aClass.name);
  aFields.ReadNumber("first_token_ms", aClass.first_token_ms);
  aFields.ReadNumber("token_interval_ms", aClass.token_interval_ms);
  aFields.ReadNumber("completion_ms", aClass.completion_ms);
  aFields.ReadNumber("success_per_mille", aClass.success_per_mille);
}

void
ReadEntity(JsonFields& aFields, state::ClientAccountT& aAccount)
{
  aFields.ReadText("name", aAccount.name);
  aFields.ReadText("key_hash", aAccount.key_hash);
  aFields.ReadText("default_class", aAccount.default_class);
}

void
ReadEntity(JsonFields& aFields, state::ModelT& aModel)
{
  aFields.ReadText("name", aModel.name);
  aFields.ReadText("version", aModel.version);
  aFields.ReadNumber("layers", aModel.layers);
}

void
ReadEntity(JsonFields& aFields, state::ServiceT& aService)
{
  aFields.ReadText("name", aService.name);
  aFields.ReadTexts("idempotent_prefixes", aService.idempotent_prefixes);
  aFields.ReadFlag("reports_not_run", aService.reports_not_run);
}

void
ReadEntity(JsonFields& aFields, state::SettingsT& aSettings)
{
  aFields.ReadNumber("shutdown_unix_ms", aSettings.shutdown_unix_ms);
}

// Reads a list of entities, each with its place in the path.
template<typename Entity>
void
ReadList(JsonFields& aFields,
         std::string_view aName,
         EntityList<Entity>& aTarget,
         StateReason& aReason)
{
  const boost::json::value* value = aFields.Take(aName);
  if (value == nullptr) {
    return;
  }
  const auto* list = value->if_array();
  if (list == nullptr) {
    aFields.Refuse(aName, "a list of objects");
    return;
  }
  for (std::size_t position = 0; position < list->size(); ++position) {
    JsonFields fields((*list)[position],
                      aFields.PathOf(aName) + '[' + std::to_string(position) +
                        ']',
                      aReason);
    auto entity = std::make_unique<Entity>();
    ReadEntity(fields, *entity);
    if (!fields.Finish()) {
      return;
    }
    aTarget.push_back(std::move(entity));
  }
}

std::optional<boost::json::value>
ParseJson(std::string_view aJson, StateReason& aReason)
{
  boost::system::error_code error;
  boost::json::value value =
    boost::json::parse({ aJson.data(), aJson.size() }, error);
  if (error) {
    aReason.Set(StateError::Malformed,
                "body: " + error.message() + ", expected a JSON object");
    return std::nullopt;
  }
  return value;
}

void
ReadChange(JsonFields& aFields,
           state::ConfigChangeT& aChange,
           StateReason& aReason)
{
  ReadList(aFields, "put_classes", aChange.put_classes, aReason);
  aFields.ReadTexts("remove_classes", aChange.remove_classes);
  ReadList(aFields, "put_accounts", aChange.put_accounts, aReason);
  aFields.ReadTexts("remove_accounts", aChange.remove_accounts);
  ReadList(aFields, "put_models", aChange.put_models, aReason);
  aFields.ReadTexts("remove_models", aChange.remove_models);
  ReadList(aFields, "put_services", aChange.put_services, aReason);
  aFields.ReadTexts("remove_services", aChange.remove_services);
  if (const boost::json::value* settings = aFields.Take("settings")) {
    JsonFields fields(*settings, aFields.PathOf("settings"), aReason);
    aChange.settings = std::make_unique<state::SettingsT>();
    ReadEntity(fields, *aChange.settings);
    fields.Finish();
  }
}

void
ReadKind(JsonFields& aFields, state::EndpointT& aEndpoint)
{
  std::string name;
  aFields.Require("kind");
  aFields.ReadText("kind", name);
  if (const auto kind = ValueOf(kEndpointKindNames, name)) {
    aEndpoint.kind = *kind;
  } else {
    aFields.Refuse("kind", "engine or plain_service");
  }
}

void
ReadEngine(JsonFields& aFields, state::EndpointT& aEndpoint)
{
  for (const char* name : { "model", "version", "first_layer", "last_layer" }) {
    aFields.Require(name);
  }
  aFields.ReadText("model", aEndpoint.model);
  aFields.ReadText("version", aEndpoint.version);
  aFields.ReadNumber("first_layer", aEndpoint.first_layer);
  aFields.ReadNumber("last_layer", aEndpoint.last_layer);
  aFields.ReadText("accelerator", aEndpoint.accelerator);
  aFields.ReadNumber("tokens_per_second", aEndpoint.tokens_per_second);
  aFields.ReadFlag("checks_fencing", aEndpoint.checks_fencing);
}

} // namespace

std::optional<state::ConfigChangeT>
ParseConfigChange(std::string_view aJson, StateReason& aReason)
{
  aReason = {};
  const auto value = ParseJson(aJson, aReason);
  if (!value) {
    return std::nullopt;
  }
  JsonFields fields(*value, "", aReason);
  state::ConfigChangeT change;
  ReadChange(fields, change, aReason);
  if (!fields.Finish()) {
    return std::nullopt;
  }
  return change;
}

std::optional<state::EndpointT>
ParseEndpoint(std::string_view aJson, StateReason& aReason)
{
  aReason = {};
  const auto value = ParseJson(aJson, aReason);
  if (!value) {
    return std::nullopt;
  }
  JsonFields fields(*value, "", aReason);
  state::EndpointT endpoint;
  for (const char* name :
       { "id", "incarnation", "address", "port", "zone", "slots" }) {
    fields.Require(name);
  }
  fields.ReadText("id", endpoint.id);
  fields.ReadNumber("incarnation", endpoint.incarnation);
  fields.ReadText("address", endpoint.address);
  fields.ReadNumber("port", endpoint.port);
  fields.ReadText("zone", endpoint.zone);
  fields.ReadNumber("slots", endpoint.slots);
  ReadKind(fields, endpoint);
  if (endpoint.kind == state::EndpointKind::Engine) {
    ReadEngine(fields, endpoint);
  } else {
    fields.Require("service");
    fields.ReadText("service", endpoint.service);
  }
  if (!fields.Finish()) {
    return std::nullopt;
  }
  return endpoint;
}

} // namespace parsleycove
