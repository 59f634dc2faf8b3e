#include "Engine/open_request.h"

#include "Engine/wire_convert.h"
#include "Home/transaction_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr std::size_t max_open_requests = 8192;
constexpr std::size_t max_traces = 2000;
constexpr duration home_check_interval = std::chrono::milliseconds(200);

}

entry_service::entry_service(control_service& control,
                             distributed_rate_limiter& rate_limiter,
                             deferred_calls& deferred,
                             hooks callbacks)
  : control_(control)
  , rate_limiter_(rate_limiter)
  , deferred_(deferred)
  , hooks_(std::move(callbacks))
  , router_(control.members().self().zone)
  , table_(router_,
           budget_,
           { [this](const request_id& request, const attempt& next) { send(request, next, now_); },
             [this](const request_id& request,
                    result_code code,
                    run_outcome outcome,
                    const std::string& message,
                    const attempt_answer* answer) {
               finish(request, code, outcome, message, answer, now_);
             } })
  , traces_(max_traces)
{
}

entry_service::~entry_service() = default;

void
entry_service::apply_configuration()
{
  std::map<database_id, std::vector<route_member>> databases;
  for (const auto& database : control_.config().databases()) {
    auto& members = databases[database.id];
    for (const auto& member : database.members) {
      members.push_back({ member.id, member.zone });
    }
  }
  router_.configure(databases);
}

void
entry_service::submit(caller_request request, respond reply, instant now)
{
  now_ = now;
  const auto& self = control_.members().self();
  const request_id id(self.instance.get() + "-" + hex(self.incarnation.get()) + "-" +
                      std::to_string(next_request_++));
  auto entry = std::make_unique<open_request>();
  entry->request = std::move(request);
  entry->reply = std::move(reply);
  entry->started = now;
  entry->trace_id = parse_trace_id(entry->request.traceparent);
  if (entry->trace_id.empty()) {
    entry->trace_id = hex(self.incarnation.get()) + hex(next_request_);
  }
  auto& stored = *entry;
  open_.emplace(id, std::move(entry));
  const auto authorized = authorize(stored, now);
  // The key is not needed after the check and must not stay in memory.
  stored.request.key.clear();
  if (!authorized) {
    finish(
      id, authorized.error().code, run_outcome::not_run, authorized.error().message, nullptr, now);
    return;
  }
  const bool ends_transaction = stored.request.operation == caller_operation::commit ||
                                stored.request.operation == caller_operation::rollback;
  if (!stored.has_key || ends_transaction) {
    // Open routes have no workspace whose rate limit applies, and a transaction must always be able
    // to end.
    dispatch(id, stored, now);
    return;
  }
  rate_limiter_.admit(stored.workspace, now, [this, id](admission_decision decision) {
    on_admission_decision(id, decision, now_);
  });
}

result<void>
entry_service::authorize(open_request& entry, instant now)
{
  const auto& request = entry.request;
  if (draining_) {
    return fail(result_code::draining, "the instance is stopping");
  }
  if (open_.size() > max_open_requests) {
    return fail(result_code::overloaded, "too many open requests");
  }
  if (!control_.has_configuration()) {
    return fail(result_code::no_configuration, "no configuration is in effect yet");
  }
  const auto& config = control_.config();
  const auto* route = config.find_route(request.route);
  if (route == nullptr) {
    return fail(result_code::unknown_route, "route \"" + request.route.get() + "\" is unknown");
  }
  BOOST_OUTCOME_TRY(authenticate(entry, *route, now));
  if (!route->uses(request.database)) {
    return fail(result_code::unknown_database,
                "route \"" + request.route.get() + "\" does not use database \"" +
                  request.database.get() + "\"");
  }
  BOOST_OUTCOME_TRY(entry.session, session_token::parse(request.session, hooks_.session_secret));
  if (!request.transaction.get().empty()) {
    BOOST_OUTCOME_TRY(auto name, transaction_id_parts::parse(request.transaction));
    entry.owner = name.instance;
  }
  const auto& settings = config.settings();
  const auto wait =
    std::min(request.deadline.value_or(settings.default_deadline), settings.max_deadline);
  entry.deadline = now + wait;
  return success();
}

result<void>
entry_service::authenticate(open_request& entry, const route_config& route, instant now)
{
  if (route.open) {
    return success();
  }
  if (entry.request.key.empty()) {
    return fail(result_code::key_missing, "route \"" + route.id.get() + "\" needs a key");
  }
  BOOST_OUTCOME_TRY(const auto* key, control_.find_key(entry.request.key, now));
  if (!route.allows(key->workspace)) {
    return fail(result_code::workspace_not_allowed,
                "workspace \"" + key->workspace.get() + "\" may not use route \"" + route.id.get() +
                  "\"");
  }
  entry.workspace = key->workspace;
  entry.key_digest = key->digest;
  entry.has_key = true;
  return success();
}

void
entry_service::on_admission_decision(const request_id& request,
                                     admission_decision decision,
                                     instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  auto& entry = *found->second;
  if (decision == admission_decision::admitted) {
    entry.admitted = true;
    hooks_.request_admitted(entry.workspace);
    dispatch(request, entry, now);
    return;
  }
  const bool over = decision == admission_decision::refused_over_rate;
  finish(request,
         over ? result_code::rate_exceeded : result_code::rate_share_unavailable,
         run_outcome::not_run,
         over ? "workspace \"" + entry.workspace.get() + "\" exceeded its rate limit"
              : "no share of the rate limit of workspace \"" + entry.workspace.get() +
                  "\" is available on this instance",
         nullptr,
         now);
}

void
entry_service::dispatch(const request_id& request, open_request& entry, instant now)
{
  // The key may have been revoked while admission waited for a borrowed token.
  if (entry.has_key && control_.keys().find(entry.key_digest) == nullptr) {
    finish(request,
           result_code::key_rejected,
           run_outcome::not_run,
           "the key is not valid",
           nullptr,
           now);
    return;
  }
  const auto& sent = entry.request;
  request_spec spec;
  spec.database = sent.database;
  spec.write = sent.write || sent.operation != caller_operation::statement;
  spec.idempotent =
    sent.idempotent || (sent.operation == caller_operation::statement && !sent.write);
  spec.owner = entry.owner;
  spec.deadline = entry.deadline;
  const auto seen = entry.session.databases.find(sent.database);
  const bool pending = seen != entry.session.databases.end() && seen->second.pending_write_term;
  spec.primary_only = sent.after_lost_answer || pending;
  entry.dispatched = true;
  table_.start(request, std::move(spec), now);
}

void
entry_service::finish(const request_id& request,
                      result_code code,
                      run_outcome outcome,
                      const std::string& message,
                      const attempt_answer* answer,
                      instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  const auto entry = std::move(found->second);
  open_.erase(found);
  if (answer == nullptr) {
    entry->answer.reset();
  }
  update_session(*entry, code, outcome);
  caller_answer reply;
  reply.code = code;
  reply.outcome = outcome;
  reply.message = message;
  reply.request = request;
  reply.trace = entry->trace_id;
  if (entry->answer && outcome == run_outcome::done) {
    reply.rows = entry->answer->rows();
    reply.transaction = transaction_id(entry->answer->transaction());
    reply.session_discarded = entry->answer->session_discarded();
    reply.from_replica = entry->answer->from_replica();
  }
  if (auto token = session_token::encode(entry->session, hooks_.session_secret)) {
    reply.session = std::move(token).value();
  }
  trace_span entry_span{
    "entry", control_.members().self().instance.get(), entry->started, now - entry->started, {}
  };
  entry_span.tags = { { "route", entry->request.route.get() },
                      { "database", entry->request.database.get() },
                      { "workspace", entry->workspace.get() },
                      { "code", std::string(name_of(code)) },
                      { "outcome", std::string(name_of(outcome)) } };
  entry->spans.insert(entry->spans.begin(), std::move(entry_span));
  traces_.add(request, { entry->trace_id, std::move(entry->spans) });
  request_end end{ entry->workspace, code, outcome, now - entry->started, {}, entry->admitted };
  if (entry->answer) {
    end.backend_time = duration(static_cast<duration::rep>(entry->answer->backend_us()));
  }
  hooks_.request_ended(end);
  entry->reply(std::move(reply));
}

void
entry_service::revoke_key(const sha256_digest& key_digest, instant now)
{
  now_ = now;
  std::vector<request_id> affected;
  for (const auto& [id, entry] : open_) {
    // The home ends requests that were already forwarded, because only it can determine whether
    // they ran.
    if (entry->has_key && entry->key_digest == key_digest && !entry->dispatched) {
      affected.push_back(id);
    }
  }
  for (const auto& id : affected) {
    finish(
      id, result_code::key_rejected, run_outcome::not_run, "the key was revoked", nullptr, now);
  }
}

void
entry_service::tick(instant now)
{
  now_ = now;
  table_.tick(now);
  if (now - homes_checked_at_ >= home_check_interval) {
    homes_checked_at_ = now;
    detect_lost_homes(now);
  }
}
}
