#include "daemon/entry/call_identity.h"

#include "daemon/dialect/dialect.h"
#include "daemon/entry/stated_caller.h"
#include "daemon/log/log.h"
#include "daemon/peer/call.h"
#include "daemon/view/cluster_view.h"
#include "policy/organisation/authorize.h"
#include "policy/organisation/credential.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnolia::daemon {
namespace {

constexpr std::uint32_t FirstRoutePriority = NestedCallPriority + 1;

policy::Credential credentialOf(const Dialect &Speaks,
                                const HttpRequest &Request) {
  std::vector<std::string_view> Values;
  for (const HttpHeader &Header : Request.Headers) {
    if (!Speaks.Headers.Key.empty() &&
        equalNames(Header.Name, Speaks.Headers.Key)) {
      Values.emplace_back(Header.Value);
    }
  }
  return policy::readCredential(Values, Speaks.Headers.KeyScheme);
}

void logRefusal(const Dialect &Speaks, const ClusterView &View,
                const settings::HostRoute &Route, const HttpRequest &Request,
                policy::CredentialFault Fault) {
  const std::string *Id = findHeader(Request.Headers, Speaks.Headers.RequestId);
  log(LogLevel::Warning, "request without a valid key",
      {{"request", Id ? std::string_view(*Id) : std::string_view()},
       {"route", std::string_view(Route.Name)},
       {"reason", policy::toString(Fault)},
       {"table_version", View.Routing->Version},
       {"outdated", View.RoutingOutdated}});
}

std::uint32_t priorityOf(const policy::Authorization &Decision, bool Configured,
                         bool Nested) {
  return Nested && !Configured ? NestedCallPriority
                               : Decision.Priority + FirstRoutePriority;
}

// Query for a request to the route, without its caller.
policy::AuthorizationQuery queryOf(const ClusterView &View,
                                   const settings::HostRoute &Route) {
  return {.Configured = !View.Routing->Organisations->Organisations.empty(),
          .PublicRoute = Route.Public,
          .TableOutdated = View.RoutingOutdated,
          .RoutePriority = Route.Priority};
}

// Returns the identity by the decision, or nothing and the error.
std::optional<CallIdentity> identityOf(const policy::AuthorizationQuery &Query,
                                       policy::Error &LastError) {
  const policy::Authorization Decision = policy::authorize(Query);
  if (Decision.Refusal) {
    LastError = {*Decision.Refusal,
                 "the request carries no valid key of an organisation"};
    return std::nullopt;
  }
  CallIdentity Identity;
  Identity.Organisation = Decision.Organisation;
  Identity.Priority =
      priorityOf(Decision, Query.Configured, Query.Parent.has_value());
  Identity.StatesOrganisation = Decision.StatesOrganisation;
  return Identity;
}

} // namespace

std::optional<CallIdentity>
identify(const Dialect &Speaks, const ClusterView &View,
         const settings::HostRoute &Route, const HttpRequest &Request,
         const std::optional<RunningRequest> &Parent,
         policy::Error &LastError) {
  const OrganisationIndex &Index = *View.Routing->Organisations;
  policy::AuthorizationQuery Query = queryOf(View, Route);
  std::optional<KeyDigest> Key;
  policy::Credential Read;
  if (Parent) {
    Query.Parent = {.Organisation = Parent->Organisation,
                    .Priority = std::max(Parent->Priority, FirstRoutePriority) -
                                FirstRoutePriority};
  } else if (Query.Configured && !Route.Public) {
    Read = credentialOf(Speaks, Request);
    if (Read.Fault == policy::CredentialFault::None) {
      Key = digestOf(Read.Key);
      if (const auto *const Owner = findOwner(Index, *Key)) {
        Query.Owner = {.Name = Owner->Name, .Priority = Owner->Priority};
      }
    }
  }
  auto Identity = identityOf(Query, LastError);
  if (Identity) {
    Identity->Key = std::move(Key);
  } else {
    logRefusal(Speaks, View, Route, Request, Read.Fault);
  }
  return Identity;
}

std::optional<CallIdentity> identifyStated(const ClusterView &View,
                                           const settings::HostRoute &Route,
                                           const StatedCaller &Caller,
                                           policy::Error &LastError) {
  const auto &Organisations = View.Routing->Organisations->Organisations;
  const auto Found = Organisations.find(Caller.Organisation);
  policy::AuthorizationQuery Query = queryOf(View, Route);
  if (Found != Organisations.end()) {
    Query.Owner = {.Name = Found->second->Name,
                   .Priority = Found->second->Priority};
  }
  if (Caller.Nested) {
    const policy::KeyOwner Owner = Query.Owner.value_or(policy::KeyOwner{});
    Query.Parent = {.Organisation = Owner.Name,
                    .Priority = Owner.Priority.value_or(Route.Priority)};
  }
  return identityOf(Query, LastError);
}

void applyIdentity(const Dialect &Speaks, const ClusterView &View,
                   const CallIdentity &Identity, CallRequest &Request) {
  Request.Priority = Identity.Priority;
  if (View.Routing->Organisations->Organisations.empty()) {
    return;
  }
  Request.Organisation = Identity.Organisation;
  const HeaderNames &Names = Speaks.Headers;
  std::erase_if(Request.Headers, [&Names](const HttpHeader &Header) {
    return equalNames(Header.Name, Names.Key) ||
           equalNames(Header.Name, Names.Organisation);
  });
  if (Identity.StatesOrganisation && !Names.Organisation.empty()) {
    Request.Headers.push_back(
        {std::string(Names.Organisation), Identity.Organisation});
  }
}

std::optional<policy::ErrorKind> refusalOf(const ClusterView &View,
                                           const KeyDigest &Key,
                                           std::string_view Organisation) {
  if (!View.Routing || View.Routing->Organisations->Organisations.empty()) {
    return std::nullopt;
  }
  const auto *const Owner = findOwner(*View.Routing->Organisations, Key);
  return Owner != nullptr && Owner->Name == Organisation
             ? std::nullopt
             : std::optional(policy::refusalOfKey(View.RoutingOutdated));
}

} // namespace magnolia::daemon
