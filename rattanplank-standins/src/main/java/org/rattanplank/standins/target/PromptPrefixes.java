package org.rattanplank.standins.target;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The length of a prompt and the hashes of its prefixes (FNV-1a, 64 bits). Immutable and thread safe.
 *
 * @param tokens the length of the prompt in tokens
 * @param tokensPerBlock the tokens by which each prefix is longer than the previous one
 * @param hashes hashes of the prompt's prefixes, shortest first
 */
record PromptPrefixes(int tokens, int tokensPerBlock, List<Long> hashes) {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CHARACTERS_PER_BLOCK = 256;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    PromptPrefixes {
        hashes = List.copyOf(hashes);
    }

    static PromptPrefixes of(JsonNode chat) {
        StringBuilder prompt = new StringBuilder();
        chat.path("messages")
                .forEach(message -> prompt.append(message.path("content").asText()));
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < prompt.length(); i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
            if ((i + 1) % CHARACTERS_PER_BLOCK == 0) {
                hashes.add(hash);
            }
        }
        int tokens = prompt.length() / CHARACTERS_PER_TOKEN + 1;
        return new PromptPrefixes(tokens, CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN, hashes);
    }
}
