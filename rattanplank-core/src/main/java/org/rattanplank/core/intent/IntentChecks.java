package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.schema.intent.Intent;
import org.rattanplank.schema.intent.IntentFault;
import org.rattanplank.schema.intent.IntentFile;
import org.rattanplank.schema.intent.IntentFolder;
import org.rattanplank.schema.intent.IntentKind;
import org.rattanplank.schema.intent.IntentMerge;

/**
 * Validates a folder of intents across files: names that refer to nothing, shares that do not add up, residencies that
 * no target can meet. Stateless and thread safe.
 */
public final class IntentChecks {
    private static final double SHARE_TOLERANCE = 0.001;

    private final List<IntentFault> faults = new ArrayList<>();
    private final Map<IntentKind, Map<String, Intent>> intents = new TreeMap<>();
    private final Map<String, String> regionOfDataCentre = new TreeMap<>();

    private IntentChecks(Collection<IntentFile> files) {
        for (IntentKind kind : IntentKind.values()) {
            intents.put(kind, new LinkedHashMap<>());
        }
        for (Intent intent : IntentMerge.merge(files)) {
            intents.get(intent.kind()).put(intent.name(), intent);
        }
    }

    /**
     * Validates a folder.
     *
     * @param folder the folder, whose files each conform to their schema
     * @return all faults, none if the folder may be applied
     */
    public static List<IntentFault> check(IntentFolder folder) {
        return check(folder.files().values());
    }

    /**
     * Validates the files of a document or folder.
     *
     * @param files the files, each of which conforms to its schema
     * @return all faults, none if the files may be applied
     */
    public static List<IntentFault> check(Collection<IntentFile> files) {
        List<IntentFault> faults = new ArrayList<>(IntentMerge.check(files));
        IntentChecks checks = new IntentChecks(files);
        checks.checkRegions();
        checks.checkResidencies();
        checks.checkAccounts();
        checks.checkShares();
        checks.checkLimits();
        faults.addAll(checks.faults);
        return List.copyOf(faults);
    }

    /**
     * Checks that the targets in the host list can meet each residency.
     *
     * @param folder the folder
     * @param list the platform's host list
     * @return the residencies with a service that no target in any allowed region runs
     */
    public static List<IntentFault> checkTargets(IntentFolder folder, HostList list) {
        IntentChecks checks = new IntentChecks(folder.files().values());
        checks.checkTargets(list);
        return List.copyOf(checks.faults);
    }

    private void checkRegions() {
        for (Intent region : of(IntentKind.REGION)) {
            for (String dataCentre : ConfigurationParser.texts(region.content().path("dataCentres"))) {
                String other = regionOfDataCentre.putIfAbsent(dataCentre, region.name());
                if (other != null) {
                    faults.add(region.fault("dataCentres", "data centres of one region", dataCentre + " of " + other));
                }
            }
        }
    }

    private void checkResidencies() {
        for (Intent residency : of(IntentKind.RESIDENCY)) {
            for (String region : ConfigurationParser.texts(residency.content().path("regions"))) {
                expect(residency, "regions", IntentKind.REGION, region);
            }
        }
    }

    private void checkAccounts() {
        Map<String, String> tokens = new TreeMap<>();
        for (Intent account : of(IntentKind.ACCOUNT)) {
            String home = account.content().path("homeRegion").asText();
            expect(account, "homeRegion", IntentKind.REGION, home);
            checkHomeDataCentre(account, home);
            checkResidencyOf(account, home);
            String other =
                    tokens.putIfAbsent(account.content().path("tokenSha256").asText(), account.name());
            if (other != null) {
                faults.add(account.fault("tokenSha256", "a token that no other account uses", "the token of " + other));
            }
        }
    }

    private void checkHomeDataCentre(Intent account, String homeRegion) {
        String dataCentre = account.content().path("homeDataCentre").asText();
        String region = regionOfDataCentre.get(dataCentre);
        if (region == null || !region.equals(homeRegion)) {
            String found = region == null ? dataCentre : dataCentre + " of region " + region;
            faults.add(account.fault("homeDataCentre", "a data centre of region " + homeRegion, found));
        }
    }

    private void checkResidencyOf(Intent account, String homeRegion) {
        String label = account.content().path("residency").asText();
        if (label.isEmpty() || !expect(account, "residency", IntentKind.RESIDENCY, label)) {
            return;
        }
        Intent residency = intents.get(IntentKind.RESIDENCY).get(label);
        List<String> allowed = ConfigurationParser.texts(residency.content().path("regions"));
        if (!allowed.contains(homeRegion)) {
            faults.add(account.fault(
                    "residency", "a residency that allows the home region " + homeRegion, label + " " + allowed));
        }
    }

    private void checkShares() {
        double sum = 0;
        Set<String> stated = new TreeSet<>();
        Intent last = null;
        for (Intent share : of(IntentKind.SHARE)) {
            expect(share, "name", IntentKind.REGION, share.name());
            sum += share.content().path("share").asDouble();
            stated.add(share.name());
            last = share;
        }
        if (last == null) {
            return;
        }
        boolean all = stated.containsAll(intents.get(IntentKind.REGION).keySet());
        if (all && sum < 1 - SHARE_TOLERANCE) {
            faults.add(last.fault("share", "shares of all regions that add up to 1", "a sum of " + sum));
        } else if (sum > 1 + SHARE_TOLERANCE) {
            faults.add(last.fault("share", "shares that add up to at most 1", "a sum of " + sum));
        }
    }

    private void checkLimits() {
        for (Intent limit : of(IntentKind.LIMIT)) {
            expect(limit, "name", IntentKind.ACCOUNT, limit.name());
        }
    }

    private void checkTargets(HostList list) {
        Set<String> running = new TreeSet<>();
        for (ListedHost target : list.targets()) {
            running.add(target.service() + "/" + target.location().region());
        }
        for (Intent residency : of(IntentKind.RESIDENCY)) {
            List<String> regions = ConfigurationParser.texts(residency.content().path("regions"));
            for (Intent service : of(IntentKind.SERVICE)) {
                boolean met = regions.stream().anyMatch(region -> running.contains(service.name() + "/" + region));
                if (!met) {
                    String expected = "a region with a target of " + service.name();
                    faults.add(residency.fault("regions", expected, regions.toString()));
                }
            }
        }
    }

    private boolean expect(Intent intent, String field, IntentKind kind, String name) {
        if (intents.get(kind).containsKey(name)) {
            return true;
        }
        String known = String.join(", ", intents.get(kind).keySet());
        faults.add(intent.fault(field, "a known " + kind.label() + " (" + known + ")", name));
        return false;
    }

    private Collection<Intent> of(IntentKind kind) {
        return intents.get(kind).values();
    }
}
