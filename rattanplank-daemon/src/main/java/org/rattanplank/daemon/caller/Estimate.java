package org.rattanplank.daemon.caller;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What routing wants to know of a prompt. Immutable and thread safe.
 *
 * <p>Engines name cached prefixes by the same hashes: FNV-1a over the characters of all contents in order, taken after
 * each whole block.
 *
 * @param promptTokens an estimate of the prompt's tokens
 * @param maxTokens the largest number of tokens to generate
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
 */
record Estimate(int promptTokens, int maxTokens, List<Long> prefixHashes) {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CHARACTERS_PER_BLOCK = 256;
    private static final int MAX_BLOCKS = 256;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    Estimate {
        prefixHashes = List.copyOf(prefixHashes);
    }

    static Estimate ofBytes(int bytes) {
        return new Estimate(bytes / CHARACTERS_PER_TOKEN + 1, 0, List.of());
    }

    static Estimate ofChat(JsonNode chat) {
        StringBuilder prompt = new StringBuilder();
        chat.path("messages").forEach(message -> prompt.append(contentOf(message.path("content"))));
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length() && hashes.size() < MAX_BLOCKS; i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
            if ((i + 1) % CHARACTERS_PER_BLOCK == 0) {
                hashes.add(hash);
            }
        }
        int maxTokens =
                chat.path("max_completion_tokens").asInt(chat.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        return new Estimate(prompt.length() / CHARACTERS_PER_TOKEN + 1, Math.max(0, maxTokens), hashes);
    }

    private static String contentOf(JsonNode content) {
        if (!content.isArray()) {
            return content.asText();
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText()));
        return text.toString();
    }
}
