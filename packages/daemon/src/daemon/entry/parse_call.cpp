#include "daemon/entry/parse_call.h"

#include "policy/chain/chain_headers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia::daemon {

using policy::ErrorKind;

namespace {

constexpr std::size_t ServiceNameMaximum = 64;

// Path without the query.
std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

// Turns http://host/path into /path. False where the target is no path.
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

std::optional<EntryCall::Given> parseCall(Entry &Owner, HttpRequest Request,
                                          policy::TimePoint Now,
                                          policy::Error &LastError) {
  const std::string Service(serviceOf(Request));
  if (Service.empty() || Service.size() > ServiceNameMaximum) {
    LastError = {ErrorKind::BadRequest,
                 "name the service by the header Magnolia-Service or by the "
                 "first label of Host"};
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
  EntryCall::Given Call;
  Call.Runtime = Owner.Services.find(*View, Service, Now);
  if (!Call.Runtime || Found == View->Services.end()) {
    LastError = {ErrorKind::UnknownService, "no service " + Service};
    return std::nullopt;
  }
  const RouteRule *Rule = findRule(*Found->second, pathOf(Request.Target));
  Call.Route = Rule ? Rule->PathPrefix : "/";
  Call.RetriesExhausted = Chain->RetriesExhausted;
  Call.Request.Id = Owner.nextId();
  Call.Request.Service = Service;
  Call.Request.Idempotent = isIdempotent(Rule, Request.Method);
  Call.Request.Deadline = Now + timeoutOf(Owner.Options, *Chain, Rule);
  Call.Request.Hops = Chain->Hops + 1;
  Call.Request.IdempotencyKey = Chain->IdempotencyKey;
  removeHopByHop(Request.Headers);
  std::erase_if(Request.Headers, [](const HttpHeader &Header) {
    return equalNames(Header.Name, ServiceHeader) ||
           equalNames(Header.Name, "Expect");
  });
  Call.Request.Method = std::move(Request.Method);
  Call.Request.Target = std::move(Request.Target);
  Call.Request.Headers = std::move(Request.Headers);
  Call.Request.Body = std::move(Request.Body);
  return Call;
}

HttpResponse errorResponse(ErrorKind Kind, std::string_view Detail,
                           bool RetriesExhausted) {
  const policy::ErrorEntry &Entry = policy::errorEntry(Kind);
  HttpResponse Response;
  Response.Status = Entry.Status;
  Response.Headers = {{"Content-Type", "application/json"},
                      {"Magnolia-Error", std::string(Entry.Name)},
                      {"Magnolia-Run", std::string(toString(Entry.Run))}};
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
