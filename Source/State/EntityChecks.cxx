// Checks of single configuration entities, apart from their surroundings.
#include "State/EntityChecks.h"

#include <algorithm>
#include <cctype>

#include "Base/SocketAddress.h"
#include "State/StateNames.h"

namespace parsleycove {

namespace {

constexpr std::size_t kKeyHashLength = 64;

bool
IsNameCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '-';
}

bool
IsLowerHex(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f');
}

Fault
CheckRange(const std::string& aWhere,
           std::uint64_t aValue,
           std::uint64_t aLeast,
           std::uint64_t aMost)
{
  if (aValue >= aLeast && aValue <= aMost) {
    return std::nullopt;
  }
  return aWhere + " is " + std::to_string(aValue) + ", expected " +
         std::to_string(aLeast) + " to " + std::to_string(aMost);
}

Fault
CheckPrefix(const std::string& aWhere, const std::string& aPrefix)
{
  if (!aPrefix.empty() && aPrefix.front() == '/' &&
      aPrefix.size() <= kMaxPrefixLength) {
    return std::nullopt;
  }
  return aWhere + " has '" + aPrefix +
         "', expected a path that starts with '/'" + " of at most " +
         std::to_string(kMaxPrefixLength) + " characters";
}

Fault
CheckEngine(const std::string& aWhere, const state::EndpointT& aEndpoint)
{
  if (auto fault = CheckName(aWhere + "model", aEndpoint.model)) {
    return fault;
  }
  if (auto fault = CheckName(aWhere + "version", aEndpoint.version)) {
    return fault;
  }
  if (aEndpoint.accelerator.size() > kMaxNameLength) {
    return aWhere + "accelerator has " +
           std::to_string(aEndpoint.accelerator.size()) +
           " characters, expected at most " + std::to_string(kMaxNameLength);
  }
  if (auto fault = CheckRange(
        aWhere + "last_layer", aEndpoint.last_layer, 0, kMaxLayers - 1)) {
    return fault;
  }
  return CheckRange(
    aWhere + "first_layer", aEndpoint.first_layer, 0, aEndpoint.last_layer);
}

Fault
CheckManagedEngine(const std::string& aWhere, const state::EndpointT& aEndpoint)
{
  if (auto fault = CheckName(aWhere + "service", aEndpoint.service)) {
    return fault;
  }
  if (auto fault = CheckRange(
        aWhere + "first_layer", aEndpoint.first_layer, 0, kMaxLayers - 1)) {
    return fault;
  }
  return CheckRange(aWhere + "layer_count",
                    aEndpoint.layer_count,
                    0,
                    kMaxLayers - aEndpoint.first_layer);
}

} // namespace

Fault
CheckName(const std::string& aWhere, std::string_view aName)
{
  const bool fits = !aName.empty() && aName.size() <= kMaxNameLength &&
                    std::all_of(aName.begin(), aName.end(), IsNameCharacter);
  if (fits) {
    return std::nullopt;
  }
  return aWhere + " is '" + std::string(aName.substr(0, kMaxNameLength)) +
         "', expected 1 to " + std::to_string(kMaxNameLength) +
         " letters, digits, '.', '_' or '-'";
}

Fault
CheckClass(const state::WorkClassT& aClass)
{
  if (auto fault = CheckName("class: name", aClass.name)) {
    return fault;
  }
  const std::string where = "class '" + aClass.name + "': ";
  if (auto fault = CheckRange(
        where + "completion_ms", aClass.completion_ms, 1, kMaxTargetMs)) {
    return fault;
  }
  if (auto fault = CheckRange(where + "first_token_ms",
                              aClass.first_token_ms,
                              1,
                              aClass.completion_ms)) {
    return fault;
  }
  if (auto fault = CheckRange(where + "token_interval_ms",
                              aClass.token_interval_ms,
                              0,
                              aClass.completion_ms)) {
    return fault;
  }
  return CheckRange(where + "success_per_mille",
                    aClass.success_per_mille,
                    1,
                    kMaxSuccessPerMille);
}

Fault
CheckAccount(const state::ClientAccountT& aAccount)
{
  if (auto fault = CheckName("account: name", aAccount.name)) {
    return fault;
  }
  const std::string where = "account '" + aAccount.name + "': ";
  const std::string& hash = aAccount.key_hash;
  if (hash.size() != kKeyHashLength ||
      !std::all_of(hash.begin(), hash.end(), IsLowerHex)) {
    return where + "key_hash has " + std::to_string(hash.size()) +
           " characters, expected a SHA-256 of 64 lower-case hex digits";
  }
  return CheckName(where + "default_class", aAccount.default_class);
}

Fault
CheckModel(const state::ModelT& aModel)
{
  if (auto fault = CheckName("model: name", aModel.name)) {
    return fault;
  }
  const std::string where = "model '" + aModel.name + "': ";
  if (auto fault = CheckName(where + "version", aModel.version)) {
    return fault;
  }
  return CheckRange(where + "layers", aModel.layers, 1, kMaxLayers);
}

Fault
CheckService(const state::ServiceT& aService)
{
  if (auto fault = CheckName("service: name", aService.name)) {
    return fault;
  }
  const std::string where = "service '" + aService.name + "': ";
  for (const std::string& prefix : aService.idempotent_prefixes) {
    if (auto fault = CheckPrefix(where + "idempotent_prefixes", prefix)) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault
CheckEndpoint(const state::EndpointT& aEndpoint)
{
  if (auto fault = CheckName("endpoint: id", aEndpoint.id)) {
    return fault;
  }
  const std::string where = "endpoint '" + aEndpoint.id + "': ";
  const SocketAddress address{ aEndpoint.address, aEndpoint.port };
  if (aEndpoint.port == 0 || !SocketAddress::Parse(address.ToString())) {
    return where + "address is '" + address.ToString() +
           "', expected an IP number with a port from 1 to 65535";
  }
  if (auto fault = CheckName(where + "zone", aEndpoint.zone)) {
    return fault;
  }
  if (aEndpoint.incarnation == 0) {
    return where + "incarnation is 0, expected a number that grows with each "
                   "start";
  }
  if (aEndpoint.slots == 0) {
    return where + "slots is 0, expected at least 1";
  }
  switch (aEndpoint.kind) {
    case state::EndpointKind::Engine:
      return CheckEngine(where, aEndpoint);
    case state::EndpointKind::PlainService:
      return CheckName(where + "service", aEndpoint.service);
    case state::EndpointKind::ManagedEngine:
      return CheckManagedEngine(where, aEndpoint);
  }
  return where +
         "kind is unknown, expected engine, plain_service or managed_engine";
}

} // namespace parsleycove
