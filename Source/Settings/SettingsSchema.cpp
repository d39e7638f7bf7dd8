// Builds the list of settings from typed members of NodeSettings.
#include "Settings/SettingsSchema.h"

#include <charconv>
#include <iomanip>
#include <limits>
#include <sstream>

namespace Berylport {

namespace {

struct Place {
    std::string_view section;
    std::string_view key;
    std::string_view meaning;
};

template <typename Section, typename Member> struct Field {
    Section NodeSettings::*section;
    Member Section::*member;

    Member& in(NodeSettings& settings) const { return settings.*section.*member; }
    Member defaultValue() const
    {
        NodeSettings defaults;
        return in(defaults);
    }
};

template <typename Section, typename Member>
Field(Section NodeSettings::*, Member Section::*) -> Field<Section, Member>;

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number n {};
    const char* end = text.data() + text.size();
    auto [position, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || position != end)
        return std::nullopt;
    return n;
}

std::string rangeText(auto minimum, auto maximum)
{
    std::ostringstream stream;
    // Enough digits for the largest bound, which would be shown as a power of ten otherwise.
    stream << std::setprecision(10) << minimum << " to " << maximum;
    return stream.str();
}

SettingInfo makeSetting(const Place& place, std::string_view unit, std::string range, SettingParser parse,
    std::string defaultText, bool isRequired = false)
{
    return { .section = place.section,
        .key = place.key,
        .unit = unit,
        .range = std::move(range),
        .meaning = place.meaning,
        .isRequired = isRequired,
        .parse = std::move(parse),
        .defaultText = std::move(defaultText) };
}

template <typename Section>
SettingInfo milliseconds(Place place, Field<Section, Duration> field, int64_t minimum, int64_t maximum)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto n = parseNumber<int64_t>(text);
        if (!n || *n < minimum || *n > maximum)
            return "must be a whole number of milliseconds from " + rangeText(minimum, maximum);
        field.in(settings) = std::chrono::milliseconds(*n);
        return std::nullopt;
    };
    return makeSetting(
        place, "ms", rangeText(minimum, maximum), parse, std::to_string(toMilliseconds(field.defaultValue())));
}

template <typename Section>
SettingInfo number(
    Place place, std::string_view unit, Field<Section, uint32_t> field, uint32_t minimum, uint32_t maximum)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto n = parseNumber<uint32_t>(text);
        if (!n || *n < minimum || *n > maximum)
            return "must be a whole number from " + rangeText(minimum, maximum);
        field.in(settings) = *n;
        return std::nullopt;
    };
    return makeSetting(place, unit, rangeText(minimum, maximum), parse, std::to_string(field.defaultValue()));
}

template <typename Section>
SettingInfo decimal(Place place, std::string_view unit, Field<Section, double> field, double minimum, double maximum)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto n = parseNumber<double>(text);
        // The negated comparison also rejects a value that is not a number.
        if (!n || !(*n >= minimum && *n <= maximum))
            return "must be a number from " + rangeText(minimum, maximum);
        field.in(settings) = *n;
        return std::nullopt;
    };
    std::ostringstream defaultText;
    defaultText << field.defaultValue();
    return makeSetting(place, unit, rangeText(minimum, maximum), parse, defaultText.str());
}

template <typename Section> SettingInfo share(Place place, Field<Section, double> field, double minimum, double maximum)
{
    return decimal(place, "share", field, minimum, maximum);
}

template <typename Section> SettingInfo endpoint(Place place, Field<Section, Endpoint> field)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto value = parseEndpoint(text);
        if (!value)
            return "must be an IP number and a port, such as 127.0.0.1:7080";
        field.in(settings) = *value;
        return std::nullopt;
    };
    return makeSetting(place, "address:port", "IP number and port", parse, toText(field.defaultValue()));
}

template <typename Section>
SettingInfo optionalEndpoint(Place place, Field<Section, std::optional<Endpoint>> field, bool isRequired)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto value = parseEndpoint(text);
        if (!value)
            return "must be an IP number and a port, such as 127.0.0.1:7080";
        field.in(settings) = *value;
        return std::nullopt;
    };
    return makeSetting(place, "address:port", "IP number and port", parse, {}, isRequired);
}

std::string_view trim(std::string_view text)
{
    size_t first = text.find_first_not_of(' ');
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

template <typename Section> SettingInfo endpointList(Place place, Field<Section, std::vector<Endpoint>> field)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        std::vector<Endpoint> endpoints;
        while (!text.empty()) {
            size_t comma = text.find(',');
            auto value = parseEndpoint(trim(text.substr(0, comma)));
            if (!value)
                return "must be a comma-separated list of IP numbers with ports";
            endpoints.push_back(*value);
            text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        }
        field.in(settings) = std::move(endpoints);
        return std::nullopt;
    };
    return makeSetting(place, "address:port", "comma-separated list", parse, {});
}

template <typename Section, typename Tag> SettingInfo name(Place place, Field<Section, Name<Tag>> field)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        if (!isValidName(text))
            return "must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit";
        field.in(settings) = Name<Tag>(text);
        return std::nullopt;
    };
    return makeSetting(place, "name", "1 to 63 characters", parse, {}, true);
}

template <typename Section>
SettingInfo choice(Place place, Field<Section, std::string> field, std::vector<std::string_view> allowed)
{
    std::string range;
    for (auto it : allowed)
        range += (range.empty() ? "" : ", ") + std::string(it);
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        for (auto it : allowed) {
            if (it == text) {
                field.in(settings) = text;
                return std::nullopt;
            }
        }
        return "must be one of " + range;
    };
    return makeSetting(place, "text", range, parse, field.defaultValue());
}

template <typename Section> SettingInfo flag(Place place, Field<Section, bool> field)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        if (text != "yes" && text != "no")
            return "must be yes or no";
        field.in(settings) = text == "yes";
        return std::nullopt;
    };
    return makeSetting(place, "yes/no", "yes or no", parse, field.defaultValue() ? "yes" : "no");
}

template <typename Section> SettingInfo text(Place place, std::string_view range, Field<Section, std::string> field)
{
    auto parse = [=](NodeSettings& settings, std::string_view value) -> std::optional<std::string> {
        field.in(settings) = value;
        return std::nullopt;
    };
    return makeSetting(place, "text", std::string(range), parse, field.defaultValue());
}

template <typename Section> SettingInfo seconds(Place place, Field<Section, Duration> field, int64_t maximum)
{
    auto parse = [=](NodeSettings& settings, std::string_view text) -> std::optional<std::string> {
        auto n = parseNumber<double>(text);
        if (!n || !(*n >= 0 && *n <= static_cast<double>(maximum)))
            return "must be a number of seconds from " + rangeText(0, maximum);
        field.in(settings) = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*n));
        return std::nullopt;
    };
    std::ostringstream defaultText;
    defaultText << std::chrono::duration<double>(field.defaultValue()).count();
    return makeSetting(place, "s", rangeText(0, maximum), parse, defaultText.str());
}

constexpr int64_t minute = 60'000;

void appendAddresses(std::vector<SettingInfo>& list)
{
    using S = NodeSettings;
    using L = ListenSection;
    list.push_back(name({ "node", "zone", "availability zone of this VM" }, Field { &S::node, &NodeSection::zone }));
    list.push_back(name({ "node", "region", "region of the zone" }, Field { &S::node, &NodeSection::region }));
    list.push_back(text({ "node", "name", "name of this VM; key of its row in the shared store" }, "any text",
        Field { &S::node, &NodeSection::name }));
    list.push_back(text({ "node", "service", "service of the target on this VM" }, "any text",
        Field { &S::node, &NodeSection::service }));
    list.push_back(flag({ "node", "first_start", "the whole system starts for the first time" },
        Field { &S::node, &NodeSection::isFirstStart }));
    list.push_back(endpoint({ "listen", "caller", "callers' HTTP" }, Field { &S::listen, &L::caller }));
    list.push_back(endpoint({ "listen", "local", "announcements of targets on this VM, and the measures page" },
        Field { &S::listen, &L::local }));
    list.push_back(
        endpoint({ "listen", "operators", "operators' remote procedure calls" }, Field { &S::listen, &L::operators }));
    list.push_back(endpoint({ "listen", "peer", "links from other nodes" }, Field { &S::listen, &L::peer }));
    list.push_back(endpoint({ "listen", "gossip", "membership datagrams" }, Field { &S::listen, &L::gossip }));
    list.push_back(optionalEndpoint(
        { "listen", "readiness", "answers 200 while callers are wanted" }, Field { &S::listen, &L::readiness }, false));
    list.push_back(optionalEndpoint({ "listen", "metrics", "the measures page, besides the local address" },
        Field { &S::listen, &L::metrics }, false));
    list.push_back(optionalEndpoint({ "listen", "peer_advertised", "peer address told to other nodes instead" },
        Field { &S::listen, &L::peerAdvertised }, false));
    list.push_back(optionalEndpoint({ "listen", "gossip_advertised", "gossip address told to other nodes instead" },
        Field { &S::listen, &L::gossipAdvertised }, false));
}

void appendPlatform(std::vector<SettingInfo>& list)
{
    using S = NodeSettings;
    using P = PlatformSection;
    using M = MembershipSection;
    list.push_back(optionalEndpoint({ "platform", "table", "table service" }, Field { &S::platform, &P::table }, true));
    list.push_back(
        optionalEndpoint({ "platform", "objects", "object store" }, Field { &S::platform, &P::objects }, true));
    list.push_back(optionalEndpoint({ "platform", "store", "store of rows, in place of table and objects" },
        Field { &S::platform, &P::store }, false));
    list.push_back(milliseconds({ "platform", "timeout_ms", "wait for one answer of the platform" },
        Field { &S::platform, &P::timeout }, 10, minute));
    list.push_back(number({ "platform", "writes_per_second", "store writes that this node may make" }, "count",
        Field { &S::platform, &P::writesPerSecond }, 1, 1000));
    list.push_back(
        endpointList({ "membership", "seeds", "gossip endpoints asked first" }, Field { &S::membership, &M::seeds }));
    list.push_back(milliseconds({ "membership", "probe_interval_ms", "time between two probes" },
        Field { &S::membership, &M::probeInterval }, 20, minute));
    list.push_back(milliseconds({ "membership", "suspicion_ms", "time from suspicion to death" },
        Field { &S::membership, &M::suspicionTime }, 100, 10 * minute));
    list.push_back(text({ "membership", "system", "name of the system; the store's addresses identify it when empty" },
        "any text", Field { &S::membership, &M::system }));
}

void appendConnections(std::vector<SettingInfo>& list)
{
    using S = NodeSettings;
    using C = CallerSection;
    using T = TargetSection;
    list.push_back(number({ "caller", "maximum_connections", "connections from callers" }, "count",
        Field { &S::caller, &C::maximumConnections }, 1, 60'000));
    list.push_back(number({ "caller", "maximum_header_bytes", "request line and headers" }, "bytes",
        Field { &S::caller, &C::maximumHeaderBytes }, 1024, 1024 * 1024));
    list.push_back(number({ "caller", "maximum_body_bytes", "request body" }, "bytes",
        Field { &S::caller, &C::maximumBodyBytes }, 0, 4 * 1024 * 1024));
    list.push_back(milliseconds({ "caller", "read_timeout_ms", "wait for the whole head or body of a request" },
        Field { &S::caller, &C::readTimeout }, 100, 10 * minute));
    list.push_back(milliseconds({ "caller", "idle_timeout_ms", "wait for the next request on a connection" },
        Field { &S::caller, &C::idleTimeout }, 100, 60 * minute));
    list.push_back(number({ "caller", "pipelined_requests",
                              "requests of one connection that are read while an earlier one has no answer" },
        "count", Field { &S::caller, &C::pipelinedRequests }, 0, 256));
    list.push_back(number({ "target", "maximum_connections", "kept connections to targets on this VM" }, "count",
        Field { &S::target, &T::maximumConnections }, 1, 250));
    list.push_back(number({ "target", "maximum_answer_bytes", "body of one answer" }, "bytes",
        Field { &S::target, &T::maximumAnswerBytes }, 1024, 4 * 1024 * 1024));
    list.push_back(milliseconds({ "target", "connect_timeout_ms", "wait for a connection to a target" },
        Field { &S::target, &T::connectTimeout }, 10, minute));
    list.push_back(milliseconds({ "target", "announcement_timeout_ms", "time after which an announcement lapses" },
        Field { &S::target, &T::announcementTimeout }, 500, 10 * minute));
}

void appendPolicy(std::vector<SettingInfo>& list)
{
    using S = NodeSettings;
    using M = MeasureSection;
    list.push_back(choice({ "routing", "policy", "choice of target" }, Field { &S::routing, &RoutingSection::policy },
        { "fresh-load", "two-choices", "least-reported", "round-robin", "random" }));
    list.push_back(milliseconds({ "routing", "cross_zone_round_trip_ms", "round trip to another zone of the region" },
        Field { &S::routing, &RoutingSection::crossZoneRoundTrip }, 0, 1000));
    list.push_back(share({ "routing", "other_zone_factor", "how much sooner another zone's target must answer" },
        Field { &S::routing, &RoutingSection::otherZoneFactor }, 1, 10));
    list.push_back(share({ "retry", "share", "further attempts that may reach targets, per call" },
        Field { &S::retry, &RetrySection::share }, 0, 1));
    list.push_back(decimal({ "retry", "fleet_extra", "further attempts beyond the share, of all nodes in a window" },
        "count", Field { &S::retry, &RetrySection::fleetExtra }, 0, 1'000'000));
    list.push_back(flag({ "retry", "server_errors", "try idempotent calls again after a target's status 500" },
        Field { &S::retry, &RetrySection::serverErrors }));
    list.push_back(seconds({ "retry", "window_s", "the window" }, Field { &S::retry, &RetrySection::window }, 3600));
    list.push_back(share({ "measure", "byte_share", "measuring's part of the calls' own bytes" },
        Field { &S::measure, &M::byteShare }, 0, 0.1));
    list.push_back(
        share({ "measure", "cpu_share", "measuring's part of one core" }, Field { &S::measure, &M::cpuShare }, 0, 0.1));
    list.push_back(number({ "measure", "load_reads_per_second", "reads of the speed of the VM while calls arrive" },
        "count", Field { &S::measure, &M::loadReadsPerSecond }, 0, 50));
    list.push_back(number({ "memory", "limit_mb", "memory of this process; 0 for that of the VM" }, "MiB",
        Field { &S::memory, &MemorySection::limitMegabytes }, 0, 1024 * 1024));
    list.push_back(share({ "quota", "excess", "share by which client accounts may exceed their limits in the window" },
        Field { &S::quota, &QuotaSection::excess }, 0, 1));
    list.push_back(decimal({ "quota", "slack", "requests by which they may exceed them besides" }, "count",
        Field { &S::quota, &QuotaSection::slack }, 0, 1'000'000));
    list.push_back(seconds({ "quota", "window_s", "the window" }, Field { &S::quota, &QuotaSection::window }, 3600));
    list.push_back(choice({ "log", "level", "least severe events written" }, Field { &S::log, &LogSection::level },
        { "debug", "info", "warning", "error" }));
    list.push_back(text({ "log", "file", "log file; standard error when empty" }, "path or empty",
        Field { &S::log, &LogSection::file }));
    list.push_back(text({ "trace", "output", "where spans are written" }, "none, stderr or a path",
        Field { &S::trace, &TraceSection::output }));
    list.push_back(milliseconds({ "shutdown", "drain_limit_ms", "longest graceful shutdown" },
        Field { &S::shutdown, &ShutdownSection::drainLimit }, 0, 60 * minute));
    list.push_back(seconds({ "shutdown", "grace_s", "time after which the process is killed; 0 when it is not" },
        Field { &S::shutdown, &ShutdownSection::killTime }, 3600));
    list.push_back(seconds({ "shutdown", "notice_s", "callers are accepted for this long after readiness has ended" },
        Field { &S::shutdown, &ShutdownSection::noticeTime }, 3600));
}

std::vector<SettingInfo> buildSchema()
{
    std::vector<SettingInfo> list;
    appendAddresses(list);
    appendPlatform(list);
    appendConnections(list);
    appendPolicy(list);
    return list;
}

} // namespace

std::span<const SettingInfo> settingsSchema()
{
    static const std::vector<SettingInfo> schema = buildSchema();
    return schema;
}

} // namespace Berylport
