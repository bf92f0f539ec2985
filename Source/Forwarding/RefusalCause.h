// Why requests of callers are refused.
#pragma once

namespace parsleycove {

// Why a request is refused. Each cause is established before the request was
// sent, or after an endpoint answered that it did not run the request.
enum class RefusalCause
{
  NoConfiguration,
  NoLease,
  NoEndpoint,
  NoPath,
  PathsFull,
  // Every path is full, or its room is kept for more urgent requests.
  GaveWay,
  EndpointsRefuse,
  // Every endpoint that is left asked for a pause.
  EndpointsPaused,
  // The limits of requests that the endpoints named allow no more for now.
  EndpointsLimited,
  // A part of the prompt crashes engines.
  CrashingPrompt,
  // The request as a whole crashes endpoints.
  CrashingRequest,
  OutOfTime,
  // This VM is shutting down.
  Stopping,
  // This VM reaches no endpoint of the service and knows no VM that does.
  EndpointsUnreached,
  // This VM is too busy to take requests over from other VMs.
  Overloaded,
};

} // namespace parsleycove
