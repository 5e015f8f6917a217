#include "peer_codec.h"

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto never = std::int64_t{-1};

/// An older position is no evidence for any read; its age is sent as this one.
constexpr auto max_sample_age = duration{1h};
constexpr auto max_use_age = duration{1h};

/// A longer time is sent as this one.
constexpr auto max_running_time = duration{24h};

auto encode_age(const std::optional<duration>& age) -> std::int64_t {
    return age ? age->count() : never;
}

auto decode_age(std::int64_t us) -> std::optional<duration> {
    return us < 0 ? std::nullopt : std::optional{duration{us}};
}

auto encode(const position& from, wire::Position::Builder to) -> void {
    to.setTerm(from.term);
    to.setLog(from.log);
}

auto decode(wire::Position::Reader from) -> position {
    return {from.getTerm(), from.getLog()};
}

auto size_of(std::size_t n) -> unsigned {
    return static_cast<unsigned>(n);
}

/// Encodes requests for tokens of cold servers, or grants of them; `tokens` is the member with their number.
template <class Entry>
auto encode(const std::vector<Entry>& from, std::uint32_t Entry::*tokens,
            capnp::List<wire::ColdTokens>::Builder to) -> void {
    for (auto n = 0U; n < to.size(); ++n) {
        to[n].setServer(from[n].server.value);
        to[n].setTokens(from[n].*tokens);
    }
}

template <class Entry>
auto decode_cold_tokens(capnp::List<wire::ColdTokens>::Reader from) -> std::vector<Entry> {
    auto found = std::vector<Entry>{};
    for (const auto it : from) {
        found.push_back({server_id{std::string{it.getServer()}}, it.getTokens()});
    }
    return found;
}

/// Encodes what a record holds for the choice of a successor. `to` is a message with both lists.
template <class Builder>
auto encode_succession(const primary_record& record, Builder to) -> void {
    const auto& terms = record.history.terms();
    auto list = to.initHistory(size_of(terms.size()));
    for (auto n = 0U; n < list.size(); ++n) {
        encode(position{terms[n].term, terms[n].start}, list[n]);
    }
    auto confirming = to.initConfirming(size_of(record.confirming.size()));
    for (auto n = 0U; n < confirming.size(); ++n) {
        confirming.set(n, record.confirming[n].value);
    }
}

template <class Reader>
auto decode_succession(Reader from, primary_record& record) -> void {
    for (const auto it : from.getHistory()) {
        record.history.begin_term(it.getTerm(), it.getLog());
    }
    for (const auto it : from.getConfirming()) {
        record.confirming.push_back(server_id{std::string{it}});
    }
}

} // namespace

auto encode(const instance_report& report, wire::InstanceReport::Builder to) -> void {
    to.setInstance(report.instance.value);
    to.setRun(report.run);
    to.setPeerAddress(report.peer_address);
    to.setLeaving(report.leaving);
    to.setNumber(report.number);
    to.setBase(report.base);
    to.setRecordsVersion(report.records_version);
    to.setSamplesNumber(report.samples_number);
    to.setProcessorShare(static_cast<float>(report.processor_share));
    to.setRunningForMs(
        static_cast<std::uint32_t>(std::clamp(report.running_for, duration{}, max_running_time) / 1ms));
    encode(report.cold_requests, &cold_request::wanted,
           to.initColdRequests(size_of(report.cold_requests.size())));
    to.setHighestToken(report.highest_fencing_token);
    to.setLendsTokens(report.lends_tokens);
    to.setRequestsTokensOnly(report.requests_tokens_only);
    auto records = to.initKnownRecords(size_of(report.known_records.size()));
    for (auto n = 0U; n < records.size(); ++n) {
        const auto& [group, record] = report.known_records[n];
        records[n].setGroup(group.value);
        records[n].setPrimary(record.primary.value);
        records[n].setTerm(record.term);
        records[n].setGeneration(record.generation);
        records[n].setChanging(record.changing);
        records[n].setCandidate(record.candidate.value);
        encode_succession(record, records[n]);
    }
    auto groups = to.initGroups(size_of(report.groups.size()));
    for (auto n = 0U; n < groups.size(); ++n) {
        const auto& from = report.groups[n];
        auto it = groups[n];
        it.setGroup(from.group.value);
        it.setReleased(from.released_generation);
        it.setHasAcknowledged(from.acknowledged.has_value());
        encode(from.acknowledged.value_or(position{}), it.initAcknowledged());
        it.setAnsweredUs(encode_age(from.since_answer));
        it.setFailedUs(encode_age(from.since_failure));
        it.setLostLead(from.rejected_as_replica);
    }
    auto questions = to.initQuestions(size_of(report.token_requests.size()));
    for (auto n = 0U; n < questions.size(); ++n) {
        questions[n].setAccount(report.token_requests[n].account.value);
        questions[n].setWanted(report.token_requests[n].wanted);
        questions[n].setUncountedTotal(report.token_requests[n].uncounted_total);
        const auto& uses = report.token_requests[n].uncounted;
        auto uncounted = questions[n].initUncounted(size_of(uses.size()));
        for (auto i = 0U; i < uncounted.size(); ++i) {
            uncounted[i].setAgeMs(
                static_cast<std::uint32_t>(std::clamp(uses[i].age, duration{}, max_use_age) / 1ms));
            uncounted[i].setTokens(uses[i].tokens);
        }
    }
}

auto decode(wire::InstanceReport::Reader from) -> instance_report {
    auto report = instance_report{};
    report.instance = instance_id{std::string{from.getInstance()}};
    report.run = from.getRun();
    report.peer_address = std::string{from.getPeerAddress()};
    report.leaving = from.getLeaving();
    report.number = from.getNumber();
    report.base = from.getBase();
    report.records_version = from.getRecordsVersion();
    report.samples_number = from.getSamplesNumber();
    report.processor_share = from.getProcessorShare();
    report.running_for = std::chrono::milliseconds{from.getRunningForMs()};
    report.cold_requests = decode_cold_tokens<cold_request>(from.getColdRequests());
    report.highest_fencing_token = from.getHighestToken();
    report.lends_tokens = from.getLendsTokens();
    report.requests_tokens_only = from.getRequestsTokensOnly();
    for (const auto it : from.getKnownRecords()) {
        auto known = known_record{group_id{std::string{it.getGroup()}},
                                  {server_id{std::string{it.getPrimary()}}, it.getTerm(), it.getGeneration(),
                                   it.getChanging(), server_id{std::string{it.getCandidate()}}}};
        decode_succession(it, known.record);
        report.known_records.push_back(std::move(known));
    }
    for (const auto it : from.getGroups()) {
        auto group = group_report{};
        group.group = group_id{std::string{it.getGroup()}};
        group.released_generation = it.getReleased();
        if (it.getHasAcknowledged()) {
            group.acknowledged = decode(it.getAcknowledged());
        }
        group.since_answer = decode_age(it.getAnsweredUs());
        group.since_failure = decode_age(it.getFailedUs());
        group.rejected_as_replica = it.getLostLead();
        report.groups.push_back(std::move(group));
    }
    for (const auto it : from.getQuestions()) {
        auto request = token_request{account_id{std::string{it.getAccount()}}, it.getWanted(), {}, 0};
        request.uncounted_total = it.getUncountedTotal();
        for (const auto use : it.getUncounted()) {
            request.uncounted.push_back({std::chrono::milliseconds{use.getAgeMs()}, use.getTokens()});
        }
        report.token_requests.push_back(std::move(request));
    }
    return report;
}

auto encode(const report_answer& answer, wire::ReportAnswer::Builder to) -> void {
    to.setHoldsDuty(answer.is_coordinating);
    to.setToken(answer.fencing_token);
    to.setRenewals(answer.renewals);
    to.setServersVersion(answer.servers_version);
    to.setServersAgeUs(encode_age(answer.servers_age));
    to.setInstances(answer.instances);
    to.setRulesVersion(answer.rules_version);
    to.setRulesAgeUs(encode_age(answer.rules_age));
    to.setRecordsVersion(answer.records_version);
    to.setWantsCompleteReport(answer.wants_complete_report);
    to.setSamplesNumber(answer.samples_number);
    auto evacuated = to.initEvacuated(size_of(answer.evacuated.size()));
    for (auto n = 0U; n < evacuated.size(); ++n) {
        evacuated.set(n, answer.evacuated[n].value);
    }
    to.setEvacuationsAgeUs(encode_age(answer.evacuations_age));
    encode(answer.cold_grants, &cold_grant::tokens, to.initColdGrants(size_of(answer.cold_grants.size())));
    auto deputies = to.initDeputies(size_of(answer.deputies.size()));
    for (auto n = 0U; n < deputies.size(); ++n) {
        deputies.set(n, answer.deputies[n]);
    }
    to.setWantsRecords(answer.wants_records);
    to.setStoreEra(answer.store_era);
    auto samples = to.initSamples(size_of(answer.samples.size()));
    for (auto n = 0U; n < samples.size(); ++n) {
        const auto& from = answer.samples[n];
        samples[n].setIndex(from.index);
        samples[n].setAgeUs(
            static_cast<std::uint32_t>(std::clamp(from.age, duration{}, max_sample_age).count()));
        samples[n].setTerm(from.at.term);
        samples[n].setLog(from.at.log);
    }
    auto groups = to.initGroups(size_of(answer.groups.size()));
    for (auto n = 0U; n < groups.size(); ++n) {
        const auto& from = answer.groups[n];
        auto it = groups[n];
        it.setGroup(from.group.value);
        it.setPrimary(from.record.primary.value);
        it.setTerm(from.record.term);
        it.setGeneration(from.record.generation);
        it.setChanging(from.record.changing);
        encode_succession(from.record, it);
        it.setHasSample(from.sample.has_value());
        encode(from.sample.value_or(position{}), it.initSample());
        it.setSampleAgeUs(from.sample_age.count());
    }
    auto tokens = to.initTokens(size_of(answer.tokens.size()));
    for (auto n = 0U; n < tokens.size(); ++n) {
        tokens[n].setAccount(answer.tokens[n].account.value);
        tokens[n].setTokens(answer.tokens[n].tokens);
        tokens[n].setWaitUs(answer.tokens[n].wait.count());
        tokens[n].setShare(static_cast<float>(answer.tokens[n].share));
        tokens[n].setShareOnly(answer.tokens[n].is_share_only);
    }
}

auto decode(wire::ReportAnswer::Reader from) -> report_answer {
    auto answer = report_answer{};
    answer.is_coordinating = from.getHoldsDuty();
    answer.fencing_token = from.getToken();
    answer.renewals = from.getRenewals();
    answer.servers_version = from.getServersVersion();
    answer.servers_age = decode_age(from.getServersAgeUs());
    answer.instances = from.getInstances();
    answer.rules_version = from.getRulesVersion();
    answer.rules_age = decode_age(from.getRulesAgeUs());
    answer.records_version = from.getRecordsVersion();
    answer.wants_complete_report = from.getWantsCompleteReport();
    answer.samples_number = from.getSamplesNumber();
    for (const auto it : from.getEvacuated()) {
        answer.evacuated.push_back(failure_domain{std::string{it}});
    }
    answer.evacuations_age = decode_age(from.getEvacuationsAgeUs());
    answer.cold_grants = decode_cold_tokens<cold_grant>(from.getColdGrants());
    for (const auto it : from.getDeputies()) {
        answer.deputies.emplace_back(it);
    }
    answer.wants_records = from.getWantsRecords();
    answer.store_era = from.getStoreEra();
    for (const auto it : from.getSamples()) {
        answer.samples.push_back({it.getIndex(), {it.getTerm(), it.getLog()}, duration{it.getAgeUs()}});
    }
    for (const auto it : from.getGroups()) {
        auto status = group_status{};
        status.group = group_id{std::string{it.getGroup()}};
        status.record = {
            server_id{std::string{it.getPrimary()}}, it.getTerm(), it.getGeneration(), it.getChanging(), {}};
        decode_succession(it, status.record);
        if (it.getHasSample()) {
            status.sample = decode(it.getSample());
        }
        status.sample_age = duration{it.getSampleAgeUs()};
        answer.groups.push_back(std::move(status));
    }
    for (const auto it : from.getTokens()) {
        answer.tokens.push_back({account_id{std::string{it.getAccount()}}, it.getTokens(),
                                 duration{it.getWaitUs()}, it.getShare(), it.getShareOnly()});
    }
    return answer;
}

} // namespace citronlug
