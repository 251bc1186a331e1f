// Compresses texts with Zstandard; the base is the prefix that matches may refer to.
#include "core/packed_text.h"

#include <glog/logging.h>
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <memory>

namespace peridotgauge {
namespace {

constexpr int kCompressionLevel = 3;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Returns the logarithm of a window that spans the base and the text, so that a match can refer to
// any place of the base.
int WindowLog(size_t bytes) {
  const ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
  int log = bounds.lowerBound;
  while (log < bounds.upperBound && (size_t{1} << static_cast<unsigned>(log)) < bytes) ++log;
  return log;
}

tl::unexpected<Error> Damaged(const std::string& reason) {
  return Fail(ErrorCode::kCorrupt, "packed text: " + reason);
}

}  // namespace

std::string PackText(std::string_view text, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  CHECK(context != nullptr) << "packed text: out of memory";
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(base.size() + text.size()));
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const size_t size =
      ZSTD_compress2(context.get(), packed.data(), packed.size(), text.data(), text.size());
  CHECK(!ZSTD_isError(size)) << "packed text: " << ZSTD_getErrorName(size);
  packed.resize(size);
  packed.shrink_to_fit();
  return packed;
}

Result<std::string> UnpackText(std::string_view packed, std::string_view base, size_t max_bytes) {
  const uint64_t size = ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Damaged("no valid header");
  }
  if (size > max_bytes) return Damaged("the text is longer than " + std::to_string(max_bytes));
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  if (context == nullptr) return Damaged("out of memory");
  const int window_log = std::max(WindowLog(base.size() + max_bytes), WindowLog(2 * max_bytes));
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const size_t written =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(), packed.data(), packed.size());
  if (ZSTD_isError(written)) return Damaged(ZSTD_getErrorName(written));
  if (written != size) return Damaged("shorter than its header says");
  return text;
}

uint64_t TextDigest(std::string_view text) {
  return std::max<uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

}  // namespace peridotgauge
