#include <citronlug/compressed_text.h>

#include <QByteArray>
#include <QtEndian>

namespace citronlug {

namespace {

/// Fastest level. Higher ones gain little on lists of similar records.
constexpr auto compression_level = 1;
/// Length of the text in front of the compressed data.
constexpr auto header_bytes = std::size_t{4};

} // namespace

auto compress_text(std::string_view text) -> std::string {
    const auto data = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    return qCompress(data, compression_level).toStdString();
}

auto expand_text(std::string_view data) -> std::optional<std::string> {
    // The library allocates the announced length before it reads the data.
    if (data.size() < header_bytes || qFromBigEndian<quint32>(data.data()) > max_expanded_bytes) {
        return std::nullopt;
    }
    const auto announced = qFromBigEndian<quint32>(data.data());
    const auto text = qUncompress(QByteArray::fromRawData(data.data(), static_cast<qsizetype>(data.size())));
    if (static_cast<std::size_t>(text.size()) != announced) {
        return std::nullopt;
    }
    return text.toStdString();
}

} // namespace citronlug
