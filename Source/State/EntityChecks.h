// Checks of single configuration entities, apart from their surroundings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "StateGenerated.h"

namespace parsleycove {

inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxPrefixLength = 256;
inline constexpr std::uint32_t kMaxLayers = 1024;
inline constexpr std::uint32_t kMaxTargetMs = 24U * 60 * 60 * 1000;
inline constexpr std::uint32_t kMaxSuccessPerMille = 1000;

// What is wrong: entity, field, value and what was expected.
using Fault = std::optional<std::string>;

Fault
CheckName(const std::string& aWhere, std::string_view aName);
Fault
CheckClass(const state::WorkClassT& aClass);
Fault
CheckAccount(const state::ClientAccountT& aAccount);
Fault
CheckModel(const state::ModelT& aModel);
Fault
CheckService(const state::ServiceT& aService);
Fault
CheckEndpoint(const state::EndpointT& aEndpoint);

} // namespace parsleycove
