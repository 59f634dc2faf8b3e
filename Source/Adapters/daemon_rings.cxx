#include "Adapters/daemon_state.h"

#include "Adapters/caller_codec.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr std::size_t ring_capacity = 16384;

}

instant
read_clock()
{
  return instant(
    std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

daemon::state::state(const instance_settings& read)
  : settings(read)
  , tick_timer(engine_thread.context())
  , caller_to_engine(engine_thread.context(),
                     ring_capacity,
                     [this](caller_item item) {
                       core->submit(
                         std::move(item.request),
                         [this, token = item.token](caller_answer answer) {
                           engine_to_caller.push({ token, std::move(answer) });
                         },
                         read_clock());
                     })
  , engine_to_caller(caller_thread.context(),
                     ring_capacity,
                     [this](const caller_result& item) {
                       const auto found = open_calls.find(item.token);
                       if (found != open_calls.end()) {
                         const auto respond = std::move(found->second);
                         open_calls.erase(found);
                         --unanswered_calls;
                         respond(encode_caller_answer(item.answer));
                       }
                     })
  , operator_to_engine(engine_thread.context(),
                       ring_capacity,
                       [this](const operator_item& item) {
                         operators->handle(
                           item.request,
                           [this, token = item.token](operator_answer answer) {
                             engine_to_operator.push({ token, std::move(answer) });
                           },
                           read_clock());
                       })
  , engine_to_operator(operator_thread.context(),
                       ring_capacity,
                       [this](operator_result item) {
                         const auto found = open_commands.find(item.token);
                         if (found != open_commands.end()) {
                           const auto respond = std::move(found->second);
                           open_commands.erase(found);
                           http_response response;
                           response.status = item.answer.status;
                           response.body = std::move(item.answer.body);
                           respond(std::move(response));
                         }
                       })
  , engine_to_backend(backend_thread.context(),
                      ring_capacity,
                      [this](const backend_command& command) { backends->execute(command); })
  , backend_to_engine(
      engine_thread.context(),
      ring_capacity,
      [this](backend_event event) { core->handle_backend_event(std::move(event), read_clock()); })
  , engine_to_peer(peer_thread.context(),
                   ring_capacity,
                   [this](const peer_item& item) {
                     if (!peers->send(item.address, item.message)) {
                       peer_to_engine.push({ std::nullopt, item.id });
                     }
                   })
  , peer_to_engine(engine_thread.context(),
                   ring_capacity,
                   [this](const peer_event& event) {
                     if (event.message) {
                       core->handle_peer_message(*event.message, read_clock());
                     } else {
                       core->handle_peer_not_sent(event.refused, read_clock());
                     }
                   })
  , engine_to_platform(platform_thread.context(),
                       ring_capacity,
                       [this](platform_call call) { platform_calls->execute(std::move(call)); })
  , platform_to_engine(engine_thread.context(), ring_capacity, [this](platform_reply reply) {
    if (const auto callback = platform->take(std::move(reply))) {
      core->run_platform_callback(callback, read_clock());
    }
  })
{
}

}
