package org.rattanplank.daemon.caller;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Estimates the properties of a prompt that routing depends on. Immutable and thread safe.
 *
 * <p>Prefix hashes must match those that engines report for cached prefixes: FNV-1a over the characters of all message
 * contents in order, recorded after each complete block.
 *
 * @param promptTokens the estimated number of prompt tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param prefixHashes the hashes of the prompt's prefixes, shortest first
 */
record PromptEstimate(int promptTokens, int maxTokens, List<Long> prefixHashes) {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int CHARS_PER_BLOCK = 256;
    private static final int MAX_BLOCKS = 256;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    PromptEstimate {
        prefixHashes = List.copyOf(prefixHashes);
    }

    static PromptEstimate ofBytes(int bytes) {
        return new PromptEstimate(bytes / CHARS_PER_TOKEN + 1, 0, List.of());
    }

    static PromptEstimate ofChat(JsonNode chat) {
        StringBuilder prompt = new StringBuilder();
        chat.path("messages").forEach(message -> prompt.append(textOf(message.path("content"))));
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length() && hashes.size() < MAX_BLOCKS; i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
            if ((i + 1) % CHARS_PER_BLOCK == 0) {
                hashes.add(hash);
            }
        }
        int maxTokens =
                chat.path("max_completion_tokens").asInt(chat.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        return new PromptEstimate(prompt.length() / CHARS_PER_TOKEN + 1, Math.max(0, maxTokens), hashes);
    }

    private static String textOf(JsonNode content) {
        if (!content.isArray()) {
            return content.asText();
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText()));
        return text.toString();
    }
}
