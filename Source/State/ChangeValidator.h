// Decides whether a configuration change may be accepted.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "State/EntityChecks.h"
#include "StateGenerated.h"

namespace parsleycove {

// Judges a change by what the configuration would be after it, without making
// a copy of the configuration.
class ChangeValidator
{
public:
  // Both must outlive the validator.
  ChangeValidator(
    const state::ConfigImageT& aImage,
    const std::unordered_map<std::string, std::string>& aAccountOfKey);

  // Returns the first fault, or nothing when the change may be accepted.
  Fault FindFault(const state::ConfigChangeT& aChange,
                  std::uint64_t aUnixMs) const;

private:
  Fault CheckForm(const state::ConfigChangeT& aChange) const;
  Fault CheckKeys(const state::ConfigChangeT& aChange) const;
  Fault CheckClassesInUse(const state::ConfigChangeT& aChange) const;
  Fault CheckEndpointsInUse(const state::ConfigChangeT& aChange) const;
  Fault CheckEndpointInUse(const state::ConfigChangeT& aChange,
                           const state::EndpointT& aEndpoint) const;

  const state::ConfigImageT& m_image;
  const std::unordered_map<std::string, std::string>& m_accountOfKey;
};

} // namespace parsleycove
