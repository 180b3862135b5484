package org.parsleycart.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Base64;
import org.junit.jupiter.api.Test;

/**
 * Guards the stored format of snapshots and changes. The bytes were recorded from an earlier build:
 * later builds must read its data, and it must read theirs.
 */
class RecordedSnapshotTest {
  private static final String EVERY_KIND =
      """
      change: recorded
      author: operators
      zones: [{name: abdali, labels: {power: generator-1}}, {name: marka}]
      contracts:
        - {name: check, kind: internal-check, deadline: 500ms, latencyObjective: 50ms}
        - {name: lookup, kind: interactive-read, deadline: 1s, maximumAttempts: 3, rank: 2}
        - {name: order, kind: non-idempotent-write, deadline: 2s}
        - {name: reminder, kind: deferrable, deadline: 10s}
      services:
        - name: ledger
          version: v1
          warmUp: 2s
          bounds: {maximumConnections: 40, coldCallsPerSecond: 7.5, healthPath: /health}
          labels: {records: charges}
        - {name: orders, version: v3, warmUp: 0s}
      routes:
        - {name: charges, host: mesh, pathPrefix: /charges, service: ledger, contract: order}
        - name: fittings
          pathPrefix: /fittings
          weightedServices: [{service: ledger, weight: 3}, {service: orders, weight: 1}]
          contract: lookup
          daemons: {power: generator-1}
      rollouts:
        - name: ledger-v2
          services: {name: ledger}
          version: v2
          completeWithin: 10m
          startedAt: 1700000000000
          sharePerMille: 50
          phase: soaking
          reason: on schedule
        - name: orders-v2
          services: {name: orders}
          version: v2
          phase: taken-back
      withdrawals: [{name: withdrawn-marka, zones: {name: marka}}]
      callerLimits:
        - {name: callers, headerBytes: 16384, bodyBytes: 1024, headerTimeout: 3s, idleTimeout: 15s}
      """;
  private static final String SNAPSHOT =
      """
      iqd2ZXJzaW9uAaV6b25lc5KCpG5hbWWmYWJkYWxppmxhYmVsc4GlcG93ZXKrZ2VuZXJhdG9yLTGBpG5hbWWlbWFy
      a2GpY29udHJhY3RzlIWkbmFtZaVjaGVja6RraW5krmludGVybmFsLWNoZWNrqGRlYWRsaW5lpTUwMG1zsGxhdGVu
      Y3lPYmplY3RpdmWkNTBtc69tYXhpbXVtQXR0ZW1wdHMDhqRuYW1lpmxvb2t1cKRraW5ksGludGVyYWN0aXZlLXJl
      YWSoZGVhZGxpbmWmMTAwMG1zsGxhdGVuY3lPYmplY3RpdmWmMTAwMG1zr21heGltdW1BdHRlbXB0cwOkcmFuawKF
      pG5hbWWlb3JkZXKka2luZLRub24taWRlbXBvdGVudC13cml0ZahkZWFkbGluZaYyMDAwbXOwbGF0ZW5jeU9iamVj
      dGl2ZaYyMDAwbXOvbWF4aW11bUF0dGVtcHRzA4WkbmFtZahyZW1pbmRlcqRraW5kqmRlZmVycmFibGWoZGVhZGxp
      bmWnMTAwMDBtc7BsYXRlbmN5T2JqZWN0aXZlpzEwMDAwbXOvbWF4aW11bUF0dGVtcHRzA6hzZXJ2aWNlc5KFpG5h
      bWWmbGVkZ2Vyp3ZlcnNpb26idjGmd2FybVVwpjIwMDBtc6Zib3VuZHODsm1heGltdW1Db25uZWN0aW9ucyiyY29s
      ZENhbGxzUGVyU2Vjb25ky0AeAAAAAAAAqmhlYWx0aFBhdGinL2hlYWx0aKZsYWJlbHOBp3JlY29yZHOnY2hhcmdl
      c4OkbmFtZaZvcmRlcnOndmVyc2lvbqJ2M6Z3YXJtVXCjMG1zpnJvdXRlc5KFpG5hbWWnY2hhcmdlc6pwYXRoUHJl
      Zml4qC9jaGFyZ2VzpGhvc3SkbWVzaKdzZXJ2aWNlpmxlZGdlcqhjb250cmFjdKVvcmRlcoWkbmFtZahmaXR0aW5n
      c6pwYXRoUHJlZml4qS9maXR0aW5nc7B3ZWlnaHRlZFNlcnZpY2VzkoKnc2VydmljZaZsZWRnZXKmd2VpZ2h0A4Kn
      c2VydmljZaZvcmRlcnOmd2VpZ2h0Aahjb250cmFjdKZsb29rdXCnZGFlbW9uc4GlcG93ZXKrZ2VuZXJhdG9yLTGo
      cm9sbG91dHOSiKRuYW1lqWxlZGdlci12MqhzZXJ2aWNlc4GkbmFtZaZsZWRnZXKndmVyc2lvbqJ2Mq5jb21wbGV0
      ZVdpdGhpbqg2MDAwMDBtc6lzdGFydGVkQXTPAAABi8/laACtc2hhcmVQZXJNaWxsZTKlcGhhc2Wnc29ha2luZ6Zy
      ZWFzb26rb24gc2NoZWR1bGWIpG5hbWWpb3JkZXJzLXYyqHNlcnZpY2VzgaRuYW1lpm9yZGVyc6d2ZXJzaW9uonYy
      rmNvbXBsZXRlV2l0aGluqDYwMDAwMG1zqXN0YXJ0ZWRBdACtc2hhcmVQZXJNaWxsZQClcGhhc2WqdGFrZW4tYmFj
      a6ZyZWFzb26gq3dpdGhkcmF3YWxzkYKkbmFtZa93aXRoZHJhd24tbWFya2Glem9uZXOBpG5hbWWlbWFya2GsY2Fs
      bGVyTGltaXRzkYWkbmFtZadjYWxsZXJzq2hlYWRlckJ5dGVzzUAAqWJvZHlCeXRlc80EAK1oZWFkZXJUaW1lb3V0
      pjMwMDBtc6tpZGxlVGltZW91dKcxNTAwMG1zrXJlY2VudENoYW5nZXORgqZjaGFuZ2WocmVjb3JkZWSndmVyc2lv
      bgGrem9uZUNoYW5nZXOBpW1hcmthoTE=""";
  private static final String CHANGE =
      """
      iaZjaGFuZ2WocmVjb3JkZWSmYXV0aG9yqW9wZXJhdG9yc6V6b25lc5KCpG5hbWWmYWJkYWxppmxhYmVsc4GlcG93
      ZXKrZ2VuZXJhdG9yLTGBpG5hbWWlbWFya2GpY29udHJhY3RzlIWkbmFtZaVjaGVja6RraW5krmludGVybmFsLWNo
      ZWNrqGRlYWRsaW5lpTUwMG1zsGxhdGVuY3lPYmplY3RpdmWkNTBtc69tYXhpbXVtQXR0ZW1wdHMDhqRuYW1lpmxv
      b2t1cKRraW5ksGludGVyYWN0aXZlLXJlYWSoZGVhZGxpbmWmMTAwMG1zsGxhdGVuY3lPYmplY3RpdmWmMTAwMG1z
      r21heGltdW1BdHRlbXB0cwOkcmFuawKFpG5hbWWlb3JkZXKka2luZLRub24taWRlbXBvdGVudC13cml0ZahkZWFk
      bGluZaYyMDAwbXOwbGF0ZW5jeU9iamVjdGl2ZaYyMDAwbXOvbWF4aW11bUF0dGVtcHRzA4WkbmFtZahyZW1pbmRl
      cqRraW5kqmRlZmVycmFibGWoZGVhZGxpbmWnMTAwMDBtc7BsYXRlbmN5T2JqZWN0aXZlpzEwMDAwbXOvbWF4aW11
      bUF0dGVtcHRzA6hzZXJ2aWNlc5KFpG5hbWWmbGVkZ2Vyp3ZlcnNpb26idjGmd2FybVVwpjIwMDBtc6Zib3VuZHOD
      sm1heGltdW1Db25uZWN0aW9ucyiyY29sZENhbGxzUGVyU2Vjb25ky0AeAAAAAAAAqmhlYWx0aFBhdGinL2hlYWx0
      aKZsYWJlbHOBp3JlY29yZHOnY2hhcmdlc4OkbmFtZaZvcmRlcnOndmVyc2lvbqJ2M6Z3YXJtVXCjMG1zpnJvdXRl
      c5KFpG5hbWWnY2hhcmdlc6pwYXRoUHJlZml4qC9jaGFyZ2VzpGhvc3SkbWVzaKdzZXJ2aWNlpmxlZGdlcqhjb250
      cmFjdKVvcmRlcoWkbmFtZahmaXR0aW5nc6pwYXRoUHJlZml4qS9maXR0aW5nc7B3ZWlnaHRlZFNlcnZpY2VzkoKn
      c2VydmljZaZsZWRnZXKmd2VpZ2h0A4Knc2VydmljZaZvcmRlcnOmd2VpZ2h0Aahjb250cmFjdKZsb29rdXCnZGFl
      bW9uc4GlcG93ZXKrZ2VuZXJhdG9yLTGocm9sbG91dHOSiKRuYW1lqWxlZGdlci12MqhzZXJ2aWNlc4GkbmFtZaZs
      ZWRnZXKndmVyc2lvbqJ2Mq5jb21wbGV0ZVdpdGhpbqg2MDAwMDBtc6lzdGFydGVkQXTPAAABi8/laACtc2hhcmVQ
      ZXJNaWxsZTKlcGhhc2Wnc29ha2luZ6ZyZWFzb26rb24gc2NoZWR1bGWIpG5hbWWpb3JkZXJzLXYyqHNlcnZpY2Vz
      gaRuYW1lpm9yZGVyc6d2ZXJzaW9uonYyrmNvbXBsZXRlV2l0aGluqDYwMDAwMG1zqXN0YXJ0ZWRBdACtc2hhcmVQ
      ZXJNaWxsZQClcGhhc2WqdGFrZW4tYmFja6ZyZWFzb26gq3dpdGhkcmF3YWxzkYKkbmFtZa93aXRoZHJhd24tbWFy
      a2Glem9uZXOBpG5hbWWlbWFya2GsY2FsbGVyTGltaXRzkYWkbmFtZadjYWxsZXJzq2hlYWRlckJ5dGVzzUAAqWJv
      ZHlCeXRlc80EAK1oZWFkZXJUaW1lb3V0pjMwMDBtc6tpZGxlVGltZW91dKcxNTAwMG1z""";

  private static ConfigurationChange change() {
    return ConfigurationTest.parse("given", EVERY_KIND).get();
  }

  private static Configuration configuration() {
    return Configuration.empty().apply(change()).get();
  }

  @Test
  void shouldWriteTheRecordedSnapshot() {
    assertThat(configuration().toBytes()).isEqualTo(bytes(SNAPSHOT));
  }

  @Test
  void shouldReadTheRecordedSnapshot() {
    assertThat(Configuration.from(bytes(SNAPSHOT)).get().digest())
        .isEqualTo(configuration().digest());
  }

  @Test
  void shouldWriteTheRecordedChange() {
    assertThat(change().toBytes()).isEqualTo(bytes(CHANGE));
  }

  private static byte[] bytes(String recorded) {
    return Base64.getMimeDecoder().decode(recorded);
  }
}
