#include "session_daemon.h"

#include <fmt/format.h>

namespace citronlug {

auto session_daemon::apply_evacuations(time_point now, const evacuation_evidence& list) -> void {
    const auto changed = evacuations_.apply(now, list);
    if (evacuations_.is_cut() && !evacuations_cut_) {
        log(log_level::error, log_event::record_rejected,
            {{"kind", std::string{name_of(record_kind::evacuations)}},
             {"why", fmt::format("there are more than {} evacuated failure domains; the first by name apply",
                                 max_evacuated_domains)}});
    }
    evacuations_cut_ = evacuations_.is_cut();
    if (changed) {
        log(log_level::warning, log_event::evacuation_changed,
            {{"domains", describe_domains(evacuations_.view(now).domains)},
             {"source", list.source == 0 ? "store" : "coordinator"},
             {"age_ms", std::to_string((now - list.since) / 1ms)}});
    }
    enforce_evacuations(now);
}

auto session_daemon::enforce_evacuations(time_point now) -> void {
    if (evacuations_.on_tick(now)) {
        log(log_level::warning, log_event::evacuation_changed,
            {{"domains", describe_domains(evacuations_.view(now).domains)},
             {"source", "restored store"},
             {"age_ms", std::to_string(evacuation_restore_time / 1ms)}});
    }
    auto view = evacuations_.view(now);
    if (view == enforced_evacuations_) {
        return;
    }
    enforced_evacuations_ = std::move(view);
    metrics_.set("citronlug_evacuated_domains", {},
                 static_cast<double>(enforced_evacuations_.domains.size()));
    proxy_.set_evacuations(now, enforced_evacuations_);
    coordinator_.set_evacuations(now, enforced_evacuations_);
    for (const auto& [id, server] : registered_servers_) {
        if (enforced_evacuations_.is_stopped(server)) {
            probes_.close(id);
        }
    }
    for (const auto& [id, it] : departed_servers_) {
        if (enforced_evacuations_.is_stopped(it.server)) {
            probes_.close(id);
        }
    }
}

} // namespace citronlug
