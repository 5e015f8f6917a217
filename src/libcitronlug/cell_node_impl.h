#pragma once

#include <citronlug/cell_node.h>

#include <array>
#include <map>
#include <set>

namespace citronlug {

/// State and rules of a cell node. Each rule of docs/leases.md has a member function; the definitions are in
/// cell_authority.cpp, cell_promises.cpp, cell_store.cpp, cell_roles.cpp and cell_table.cpp.
class cell_node::implementation {
public:
    implementation(cell_id cell, cell_member self, lease_settings settings, std::uint64_t seed,
                   time_point now);

    auto on_timer(time_point now) -> void;
    auto on_store_reply(time_point now, std::uint64_t call, store_reply reply) -> void;
    auto on_peer_message(time_point now, const peer_message& message) -> void;
    auto on_instance_list(time_point now, const std::vector<listed_instance>& list) -> void;
    auto set_roles(time_point now, std::vector<role_id> roles) -> void;
    auto set_config_version(std::uint64_t version) -> void { config_version_ = version; }
    auto start_leave(time_point now) -> void;
    [[nodiscard]] auto handed_over() const -> bool;
    [[nodiscard]] auto authority_until() const -> time_point;
    [[nodiscard]] auto has_majority(time_point now) const -> bool;
    [[nodiscard]] auto locate(const role_id& role) const -> std::optional<role_location>;
    [[nodiscard]] auto is_standby(const role_id& role) const -> bool;
    [[nodiscard]] auto record() const -> const cell_record& { return record_; }
    [[nodiscard]] auto peer_config_version() const -> std::uint64_t { return peer_config_version_; }
    [[nodiscard]] auto live_members(time_point now) const -> std::vector<cell_member>;
    [[nodiscard]] auto take_actions() -> std::vector<cell_action> { return std::exchange(actions_, {}); }

private:
    /// Latest observation of a table slot: proves in step 1 of a takeover that renewals have stopped.
    struct observed_slot {
        incarnation run = 0;
        time_point run_since; ///< when this incarnation was first observed
        std::uint64_t renewals = 0;
        time_point renewals_since; ///< when the counter last changed
    };
    /// Heartbeats received from a member.
    struct received_heartbeats {
        incarnation run = 0;
        time_point at;    ///< last heartbeat sent with authority
        time_point since; ///< start of the series of such heartbeats without a gap of a lease
    };
    /// Takeover attempt: the promises collected against one incarnation.
    struct takeover {
        instance_id subject;
        std::uint64_t table_version = 0;
        time_point eligible_since;
        time_point last_request_at;
        std::map<std::uint64_t, time_point> requests; ///< by call: when the request was sent
        std::map<std::string, time_point> granted;    ///< by peer: when the granted request was sent
        bool fenced = false;                          ///< the subject's authority has certainly expired
        std::uint64_t fenced_renewals = 0;            ///< renewal counter of the slot when it was fenced
    };
    enum class store_phase { idle, reading, writing };

    // cell_authority.cpp
    [[nodiscard]] auto expiry_delay() const -> duration;
    [[nodiscard]] auto majority_authority_until() const -> time_point;
    auto advance_clock(time_point now) -> void;
    auto stop_role(const role_id& role) -> void;
    auto send_heartbeats(time_point now) -> void;
    auto on_message(time_point now, const heartbeat_message& message) -> void;
    auto on_message(time_point now, const heartbeat_answer& message) -> void;
    auto on_peer_versions(time_point now, const instance_id& from, std::uint64_t record_version,
                          std::uint64_t config_version) -> void;
    [[nodiscard]] auto may_vote(time_point now) const -> bool;

    // cell_promises.cpp
    auto on_message(time_point now, const promise_request& message) -> void;
    auto on_message(time_point now, const promise_answer& message) -> void;
    [[nodiscard]] auto grant_promise(time_point now, const promise_request& message) -> bool;
    [[nodiscard]] auto renewal_counter_unchanged(time_point now, const instance_id& subject,
                                                 incarnation run) const -> bool;
    [[nodiscard]] auto takeover_rank(time_point now, const instance_id& subject, incarnation run) const
        -> int;
    [[nodiscard]] auto is_fenced(incarnation run, const takeover& attempt) const -> bool;
    [[nodiscard]] auto renewals_of(const instance_id& subject, incarnation run) const -> std::uint64_t;
    auto check_holders(time_point now) -> void;
    auto request_promises(time_point now, incarnation run, takeover& attempt) -> void;
    auto count_promises(time_point now, incarnation run, takeover& attempt) -> void;

    // cell_store.cpp
    auto advance_store_calls(time_point now) -> void;
    auto read_store(time_point now) -> void;
    auto write_store(time_point now, cell_record next) -> void;
    auto on_read(time_point now, store_reply reply) -> void;
    auto on_written(time_point now, const store_reply& reply) -> void;
    auto adopt(time_point now, cell_record record, std::string text) -> void;
    auto observe_renewals(time_point now) -> void;
    [[nodiscard]] auto plan_next_record(time_point now) -> std::optional<cell_record>;
    [[nodiscard]] auto renewal_due(time_point now) const -> bool;

    // cell_roles.cpp
    [[nodiscard]] auto plan_roles(time_point now, cell_record& next) -> bool;
    [[nodiscard]] auto plan_own_roles(time_point now, cell_record& next) -> bool;
    [[nodiscard]] auto plan_vacant_roles(time_point now, cell_record& next) -> bool;
    [[nodiscard]] auto plan_standbys(time_point now, cell_record& next) -> bool;
    auto assign_to_self(cell_record& next, const role_id& role, time_point now) const -> void;
    auto assign(cell_record& next, const role_id& role, const cell_member& to, time_point now) const -> void;
    auto plan_rebalance(time_point now) -> void;
    [[nodiscard]] auto candidates(time_point now) const -> std::vector<cell_member>;
    [[nodiscard]] auto standby_for(const cell_member& holder, time_point now) const -> instance_id;
    [[nodiscard]] auto is_live(time_point now, const std::string& id) const -> bool;

    // cell_table.cpp
    auto on_message(time_point now, const table_request& message) -> void;
    auto on_message(time_point now, const table_answer& message) -> void;
    auto on_message(time_point now, const record_request& message) -> void;
    auto on_message(time_point now, const record_answer& message) -> void;
    [[nodiscard]] auto plan_join(cell_record& next) const -> bool;
    [[nodiscard]] auto removable(time_point now) const -> std::optional<std::string>;
    [[nodiscard]] auto table_confirmed() const -> bool;
    auto request_confirmation(time_point now) -> void;

    // cell_node.cpp
    [[nodiscard]] auto own_member() const -> const cell_member*;
    [[nodiscard]] auto address_of(const instance_id& id) const -> std::string;
    [[nodiscard]] auto is_own(const role_entry& entry) const -> bool;
    [[nodiscard]] auto majority() const -> std::size_t { return record_.members.size() / 2 + 1; }
    auto send(const instance_id& to, peer_message message) -> void;
    auto emit_event(std::string kind, std::string detail) -> void;

    cell_id cell_;
    cell_member self_;
    lease_settings settings_;
    std::mt19937_64 random_;
    time_point started_;
    time_point now_;
    std::vector<cell_action> actions_;
    std::uint64_t last_call_ = 0;

    cell_record record_;
    std::string record_text_; ///< JSON text of `record_`
    time_point table_since_;  ///< when this table version was adopted
    std::map<std::string, observed_slot> observed_;
    bool was_member_ = false;
    time_point member_since_;
    bool superseded_ = false; ///< a later incarnation has taken the slot

    bool active_ = false;              ///< authority was gained and has not expired
    time_point store_authority_until_; ///< end of the authority by the last lease renewal
    /// End of the authority by majority contact under earlier tables.
    time_point previous_table_authority_until_;
    std::map<std::string, time_point> contacts_; ///< by peer: when the latest accepted heartbeat was sent
    std::map<std::uint64_t, time_point> sent_heartbeats_; ///< by call: when the heartbeat was sent
    time_point next_heartbeat_;
    bool heartbeat_half_ = false; ///< which half of the peers got the last heartbeat
    std::map<role_id, epoch_number> held_roles_;

    std::map<std::string, received_heartbeats> received_;
    std::map<incarnation, time_point> last_accepted_; ///< when its last heartbeat was accepted
    std::map<incarnation, time_point> promises_;      ///< until when heartbeats of an incarnation are refused
    std::map<incarnation, takeover> takeovers_;

    store_phase store_phase_ = store_phase::idle;
    std::uint64_t store_call_ = 0;
    time_point store_called_at_;
    time_point next_store_call_;
    time_point last_store_success_;
    time_point last_renewal_;
    int conflicts_ = 0;
    bool read_needed_ = true;
    cell_record pending_record_;
    std::string pending_text_;

    std::optional<std::vector<role_id>> roles_;
    std::map<role_id, time_point> vacant_since_;
    std::map<role_id, instance_id> pending_moves_; ///< rebalancing: roles to hand over, with the new holder
    time_point roles_changed_;
    bool leaving_ = false;

    std::map<std::string, listed_instance> listed_;
    std::set<std::string> confirmed_; ///< members that hold `confirmation_version_`
    std::uint64_t confirmation_version_ = 0;
    std::uint64_t confirmation_call_ = 0; ///< first request about `confirmation_version_`
    time_point confirmation_requested_at_;
    time_point record_requested_at_;

    std::uint64_t config_version_ = 0;
    std::uint64_t peer_config_version_ = 0;
};

/// Rendezvous hash of a candidate for a subject, equal on all instances. The highest weight wins.
[[nodiscard]] auto rendezvous_weight(const std::string& subject, const std::string& candidate)
    -> std::uint64_t;

} // namespace citronlug
