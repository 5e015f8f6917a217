#pragma once

#include "peer.capnp.h"

#include <citronlug/cell_node.h>
#include <citronlug/coordination.h>
#include <citronlug/request.h>
#include <citronlug/timeline.h>

#include <optional>

/// Conversion between the types of libcitronlug and the messages of peer.capnp.
namespace citronlug {

auto encode(const peer_message& message, wire::CellMessage::Builder to) -> void;
/// Returns nullopt if this version does not support the type of the message.
[[nodiscard]] auto decode(wire::CellMessage::Reader from) -> std::optional<peer_message>;

/// The deadline is transmitted as the remaining time, because the clocks of instances are not comparable.
auto encode(const request& work, time_point now, wire::Request::Builder to) -> void;
/// Returns nullopt if an enum value is out of range.
[[nodiscard]] auto decode(wire::Request::Reader from, time_point now) -> std::optional<request>;

auto encode(const answer& value, epoch_number holder_epoch, wire::Answer::Builder to) -> void;
[[nodiscard]] auto decode(wire::Answer::Reader from, epoch_number& holder_epoch) -> std::optional<answer>;

auto encode(const instance_report& report, wire::InstanceReport::Builder to) -> void;
[[nodiscard]] auto decode(wire::InstanceReport::Reader from) -> instance_report;
auto encode(const report_answer& answer, wire::ReportAnswer::Builder to) -> void;
[[nodiscard]] auto decode(wire::ReportAnswer::Reader from) -> report_answer;

auto encode(const timeline_filter& filter, wire::EventFilter::Builder to) -> void;
[[nodiscard]] auto decode(wire::EventFilter::Reader from) -> timeline_filter;
auto encode(const timeline_event& event, wire::Event::Builder to) -> void;
[[nodiscard]] auto decode(wire::Event::Reader from) -> timeline_event;

} // namespace citronlug
