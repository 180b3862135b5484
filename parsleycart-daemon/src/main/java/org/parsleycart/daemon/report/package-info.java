/** The metrics, traces, logs and events that a daemon reports. */
package org.parsleycart.daemon.report;
