#include "daemon/entry/parse_call.h"

#include "daemon/entry/call_identity.h"
#include "daemon/entry/own_host.h"
#include "daemon/entry/stated_caller.h"
#include "daemon/log/log.h"
#include "policy/chain/chain_headers.h"
#include "policy/overload/return_delay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

constexpr std::size_t ServiceNameMaximum = 64;

// Returns the path without the query.
std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

// Converts http://host/path to /path. Returns false if the target is not a
// path.
bool toOriginForm(std::string &Target, const std::string &Method) {
  const std::size_t Scheme = Target.find("://");
  if (Target.starts_with("http") && Scheme != std::string::npos &&
      Scheme <= 5) {
    const std::size_t Slash = Target.find('/', Scheme + 3);
    Target = Slash == std::string::npos ? "/" : Target.substr(Slash);
  }
  return Target.starts_with("/") || (Target == "*" && Method == "OPTIONS");
}

std::optional<policy::ChainContext> chainOf(const HttpHeaders &Headers,
                                            policy::Error &LastError) {
  policy::ChainContext Chain;
  for (const HttpHeader &Header : Headers) {
    if (!policy::parseHeader(Chain, Header.Name, Header.Value, LastError)) {
      return std::nullopt;
    }
  }
  return Chain;
}

policy::Duration timeoutOf(const EntryOptions &Options,
                           const policy::ChainContext &Chain,
                           const RouteRule *Rule) {
  policy::Duration Timeout = Options.Deadline;
  if (Rule && Rule->Timeout.count() > 0) {
    Timeout = Rule->Timeout;
  }
  if (Chain.Remaining) {
    Timeout = *Chain.Remaining;
  }
  return std::min(Timeout, Options.DeadlineMaximum);
}

// Returns the time that the caller still waits, or nothing if it does not state
// one.
std::optional<policy::Duration> deadlineOf(const Dialect &Speaks,
                                           const HttpRequest &Request) {
  const std::string *Text =
      findHeader(Request.Headers, Speaks.Headers.Deadline);
  std::uint32_t Number = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Number).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(Number);
}

std::string_view hostOf(const HttpRequest &Request) {
  const std::string *Host = findHeader(Request.Headers, "Host");
  return Host ? std::string_view(*Host).substr(0, Host->find(':'))
              : std::string_view();
}

void replaceHeader(HttpHeaders &Headers, std::string_view Name,
                   std::string Value) {
  std::erase_if(Headers, [Name](const HttpHeader &Header) {
    return equalNames(Header.Name, Name);
  });
  if (!Value.empty()) {
    Headers.push_back({std::string(Name), std::move(Value)});
  }
}

// Formats a duration as seconds with three decimals.
std::string secondsText(policy::Duration Length) {
  const auto Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
  const std::string Fraction = std::to_string(1000 + Ms % 1000);
  return std::to_string(Ms / 1000) + "." + Fraction.substr(1);
}

void setTimes(EntryCall::Parameters &Call, const settings::HostRoute &Route,
              std::optional<policy::Duration> CallerTimeout,
              const EntryOptions &Options, policy::TimePoint Now) {
  policy::Duration Left = CallerTimeout.value_or(Options.Deadline);
  if (Route.TimeoutMs != 0) {
    Left = std::min<policy::Duration>(
        Left, std::chrono::milliseconds(Route.TimeoutMs));
  }
  Call.Request.Deadline = Now + std::min(Left, Options.DeadlineMaximum);
  if (Route.ObjectiveMs != 0) {
    Call.Request.Objective = Now + std::chrono::milliseconds(Route.ObjectiveMs);
  }
}

// Moves method, target, headers and body of the request into the call.
void takeMessage(EntryCall::Parameters &Call, HttpRequest Request) {
  removeHopByHop(Request.Headers);
  std::erase_if(Request.Headers, [](const HttpHeader &Header) {
    return equalNames(Header.Name, ServiceHeader) ||
           equalNames(Header.Name, "Expect");
  });
  Call.Request.Method = std::move(Request.Method);
  Call.Request.Target = std::move(Request.Target);
  Call.Request.Headers = std::move(Request.Headers);
  Call.Request.Body = std::move(Request.Body);
  Call.Request.Share = std::move(Request.Share);
}

// Returns whether a request from the address may be a nested call. Callers
// choose request ids, so an id must not replace a key unless the connection
// comes from the host of the local backend server.
bool mayBeNested(const Entry &Owner, const RoutingTable &Routing,
                 std::string_view RemoteAddress) {
  if (Routing.Organisations->Organisations.empty()) {
    return true;
  }
  const EntryOptions &Options = Owner.Options;
  return isOwnHost(RemoteAddress, {Options.Address, Options.CallerAddress,
                                   Owner.Use.Own.backendAddress()});
}

// Returns the request that the local backend server is running and on whose
// behalf it makes the call, or nothing.
std::optional<RunningRequest> parentOf(Entry &Owner,
                                       const RoutingTable &Routing,
                                       const HttpRequest &Request) {
  const Dialect &Speaks = Owner.dialect();
  const std::string *Id = findHeader(Request.Headers, Speaks.Headers.RequestId);
  const std::string_view ParentId =
      Id && Speaks.ParentOf ? Speaks.ParentOf(*Id) : std::string_view();
  if (ParentId.empty()) {
    return std::nullopt;
  }
  auto Parent = Owner.Use.Own.running().find(ParentId);
  if (Parent && !mayBeNested(Owner, Routing, Request.RemoteAddress)) {
    log(LogLevel::Warning, "nested call from another host",
        {{"request", std::string_view(*Id)},
         {"address", std::string_view(Request.RemoteAddress)}});
    return std::nullopt;
  }
  return Parent;
}

// The version tells a node whose table is outdated from a route that no table
// has.
void logMissingRoute(const Dialect &Speaks, const HttpRequest &Request,
                     const ClusterView &View) {
  const std::string *Id = findHeader(Request.Headers, Speaks.Headers.RequestId);
  log(LogLevel::Warning, "no route",
      {{"request", Id ? std::string_view(*Id) : std::string_view()},
       {"host", hostOf(Request)},
       {"path", pathOf(Request.Target)},
       {"table_version", View.Routing->Version},
       {"outdated", View.RoutingOutdated}});
}

// Returns the route of the request, or null and the error.
const settings::HostRoute *selectRoute(const ClusterView &View,
                                       const HttpRequest &Request,
                                       policy::Error &LastError) {
  if (!View.Routing) {
    LastError = {ErrorKind::NoBackendServer, "no routing table is loaded yet"};
    return nullptr;
  }
  const settings::HostRoute *Route =
      findRoute(*View.Routing, hostOf(Request), pathOf(Request.Target));
  if (!Route) {
    // Only the newest table can tell that a route does not exist. Callers do
    // not retry a 404.
    LastError = {View.RoutingOutdated ? ErrorKind::ConfigurationOutdated
                                      : ErrorKind::UnknownService,
                 "no route matches the host and path"};
    return nullptr;
  }
  return Route;
}

// Where a call is built from: the state of the node, or copies if the request
// is explained for a stated caller.
struct CallSource {
  policy::TimePoint Now{};
  policy::RandomEngine &Random;
  // Null for the request of a caller.
  const StatedCaller *Stated = nullptr;
};

std::shared_ptr<ServiceRuntime> runtimeOf(Entry &Owner, const ClusterView &View,
                                          std::string_view Service,
                                          const CallSource &Source) {
  return Source.Stated ? Owner.Services.copy(View, Service, Source.Now)
                       : Owner.Services.find(View, Service, Source.Now);
}

// Builds the call of a request whose service the routing table selects, once
// its caller is known.
std::optional<EntryCall::Parameters>
buildRouted(Entry &Owner, const ClusterView &View,
            const settings::HostRoute &Route, HttpRequest Request,
            const std::optional<RunningRequest> &Parent, CallIdentity Identity,
            const CallSource &Source, policy::Error &LastError) {
  const Dialect &Speaks = Owner.dialect();
  const policy::TimePoint Now = Source.Now;
  std::uniform_real_distribution<double> Point(0, 1);
  const settings::RouteTarget &Target = targetAt(Route, Point(Source.Random));
  EntryCall::Parameters Call;
  Call.Runtime = runtimeOf(Owner, View, Target.Service, Source);
  if (!Call.Runtime) {
    LastError = {ErrorKind::NoBackendServer, "no service " + Target.Service};
    return std::nullopt;
  }
  Call.Route = Route.Prefix;
  Call.MaxRuns = Route.MaxAttempts;
  Call.MayHedge = false;
  Call.Request.Service = Target.Service;
  Call.Request.Idempotent = Route.Idempotent;
  Call.Request.Route = Route.Name;
  Call.Request.Bulk = Route.Bulk;
  Call.Request.Nested = Parent.has_value();
  Call.WorkloadAware = policy::isWorkloadAware(Owner.Options.WorkloadAware,
                                               hasBulkRoutes(*View.Routing));
  Call.Request.OfRepeat = Call.WorkloadAware && Parent && Parent->Repeat;
  const auto CallerTimeout = deadlineOf(Speaks, Request);
  if (CallerTimeout) {
    Call.CallerDeadline = Now + *CallerTimeout;
  }
  setTimes(Call, Route, CallerTimeout, Owner.Options, Now);
  takeMessage(Call, std::move(Request));
  applyIdentity(Speaks, View, Identity, Call.Request);
  Call.Key = std::move(Identity.Key);
  if (!Speaks.Headers.CallerService.empty()) {
    replaceHeader(Call.Request.Headers, Speaks.Headers.CallerService,
                  Owner.Options.LocalService);
  }
  return Call;
}

// Builds the call of a request whose service the routing table selects.
std::optional<EntryCall::Parameters> parseRouted(Entry &Owner,
                                                 HttpRequest Request,
                                                 const CallSource &Source,
                                                 policy::Error &LastError) {
  const auto View = Owner.Use.Views.current();
  const Dialect &Speaks = Owner.dialect();
  const settings::HostRoute *Route = selectRoute(*View, Request, LastError);
  if (!Route) {
    if (View->Routing && !Source.Stated) {
      logMissingRoute(Speaks, Request, *View);
    }
    return std::nullopt;
  }
  std::optional<RunningRequest> Parent;
  if (!Source.Stated) {
    Parent = parentOf(Owner, *View->Routing, Request);
  } else if (Source.Stated->Nested) {
    Parent.emplace();
  }
  auto Identity =
      Source.Stated
          ? identifyStated(*View, *Route, *Source.Stated, LastError)
          : identify(Speaks, *View, *Route, Request, Parent, LastError);
  if (!Identity) {
    return std::nullopt;
  }
  return buildRouted(Owner, *View, *Route, std::move(Request), Parent,
                     *std::move(Identity), Source, LastError);
}

} // namespace

bool isLocal(const HttpRequest &Request) {
  return Request.Target.starts_with(LocalPrefix) &&
         !findHeader(Request.Headers, ServiceHeader);
}

std::string_view serviceOf(const HttpRequest &Request) {
  if (const std::string *Named = findHeader(Request.Headers, ServiceHeader)) {
    return *Named;
  }
  if (const std::string *Host = findHeader(Request.Headers, "Host")) {
    return std::string_view(*Host).substr(0, Host->find_first_of(".:"));
  }
  return {};
}

bool mayOverlap(const Entry &Owner, const HttpRequest &Request) {
  const auto View = Owner.Use.Views.current();
  std::string Target = Request.Target;
  if (!toOriginForm(Target, Request.Method)) {
    return false;
  }
  if (Owner.dialect().RoutesByHost) {
    const settings::HostRoute *Route =
        View->Routing
            ? findRoute(*View->Routing, hostOf(Request), pathOf(Target))
            : nullptr;
    return Route && Route->Idempotent;
  }
  const auto Found = View->Services.find(std::string(serviceOf(Request)));
  return !isLocal(Request) && Found != View->Services.end() &&
         isIdempotent(findRule(*Found->second, pathOf(Target)), Request.Method);
}

namespace {

std::optional<EntryCall::Parameters> parse(Entry &Owner, HttpRequest Request,
                                           const CallSource &Source,
                                           policy::Error &LastError) {
  if (Owner.dialect().RoutesByHost) {
    if (toOriginForm(Request.Target, Request.Method)) {
      return parseRouted(Owner, std::move(Request), Source, LastError);
    }
    LastError = {ErrorKind::BadRequest, "the request target is not a path"};
    return std::nullopt;
  }
  const std::string Service(serviceOf(Request));
  if (Service.empty() || Service.size() > ServiceNameMaximum) {
    LastError = {ErrorKind::BadRequest,
                 "the header Magnolia-Service or the first label of Host must "
                 "name a service"};
    return std::nullopt;
  }
  if (!toOriginForm(Request.Target, Request.Method) ||
      Request.Method == "CONNECT" || Request.Method == "TRACE") {
    LastError = {ErrorKind::BadRequest, "method or target is not accepted"};
    return std::nullopt;
  }
  const auto Chain = chainOf(Request.Headers, LastError);
  if (!Chain) {
    return std::nullopt;
  }
  const auto View = Owner.Use.Views.current();
  const auto Found = View->Services.find(Service);
  EntryCall::Parameters Call;
  Call.Runtime = runtimeOf(Owner, *View, Service, Source);
  if (!Call.Runtime || Found == View->Services.end()) {
    LastError = {ErrorKind::UnknownService, "no service " + Service};
    return std::nullopt;
  }
  const RouteRule *Rule = findRule(*Found->second, pathOf(Request.Target));
  Call.Route = Rule ? Rule->PathPrefix : "/";
  Call.RetriesExhausted = Chain->RetriesExhausted;
  Call.Request.Service = Service;
  Call.Request.Idempotent = isIdempotent(Rule, Request.Method);
  Call.Request.Deadline = Source.Now + timeoutOf(Owner.Options, *Chain, Rule);
  Call.Request.Hops = Chain->Hops + 1;
  Call.Request.IdempotencyKey = Chain->IdempotencyKey;
  takeMessage(Call, std::move(Request));
  return Call;
}

} // namespace

std::optional<EntryCall::Parameters> parseCall(Entry &Owner,
                                               HttpRequest Request,
                                               policy::TimePoint Now,
                                               policy::Error &LastError) {
  auto Call = parse(Owner, std::move(Request),
                    {.Now = Now, .Random = threadEngine()}, LastError);
  if (Call) {
    Call->Request.Id = Owner.nextId();
  }
  return Call;
}

std::optional<EntryCall::Parameters>
parseStatedCall(Entry &Owner, HttpRequest Request, const StatedCaller &Caller,
                policy::TimePoint Now, policy::RandomEngine &Random,
                policy::Error &LastError) {
  return parse(Owner, std::move(Request),
               {.Now = Now, .Random = Random, .Stated = &Caller}, LastError);
}

HttpResponse errorResponse(const Dialect &Speaks, ErrorKind Kind,
                           std::string_view Detail, bool RetriesExhausted,
                           std::optional<policy::Duration> RetryAfter) {
  const policy::ErrorEntry &Entry = policy::errorEntry(Kind);
  HttpResponse Response;
  Response.Status = Speaks.StatusOf(Kind);
  Response.Headers = {{"Content-Type", "application/json"},
                      {"Magnolia-Error", std::string(Entry.Name)},
                      {"Magnolia-Run", std::string(toString(Entry.Run))}};
  if (!Speaks.Headers.RetryAfter.empty() && Entry.Retryable) {
    Response.Headers.push_back(
        {std::string(Speaks.Headers.RetryAfter),
         secondsText(RetryAfter ? *RetryAfter
                                : policy::returnDelay(Kind, threadEngine()))});
  }
  if (Kind == ErrorKind::Unauthorized && !Speaks.Headers.KeyScheme.empty()) {
    Response.Headers.push_back(
        {"WWW-Authenticate", std::string(Speaks.Headers.KeyScheme)});
  }
  if (RetriesExhausted) {
    Response.Headers.push_back({std::string(policy::RetryHeader),
                                std::string(policy::RetryExhausted)});
  }
  const nlohmann::ordered_json Body = {
      {"error", Entry.Name},
      {"detail", Detail.empty() ? Entry.Meaning : Detail},
      {"run", toString(Entry.Run)}};
  Response.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace magnolia::daemon
